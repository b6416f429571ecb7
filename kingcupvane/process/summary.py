"""Sums up a data centre for the others."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from kingcupvane.connection.messages import (
    DataCentreSummary,
    GatewayReport,
    MemberStatus,
    Stamp,
)
from kingcupvane.request.quota import AccountUsage


@dataclass(kw_only=True, slots=True)
class _GatewayUsage:
    """What one gateway last told of its accounts."""

    incarnation: int
    usage_by_account: Mapping[str, AccountUsage]


@dataclass(kw_only=True, slots=True)
class UsageTotals:
    """Requests that the gateways of a data centre admitted, by account.

    Each gateway counts since its own start; the total goes on when one of
    them restarts or leaves.
    """

    _admitted_by_account: dict[str, int] = field(default_factory=dict)
    _usage_by_gateway: dict[str, _GatewayUsage] = field(default_factory=dict)

    def update(
        self,
        name: str,
        incarnation: int,
        usage_by_account: Mapping[str, AccountUsage],
    ) -> None:
        """Takes in what a gateway counted since its start.

        What it had admitted before it was heard for the first time is left
        out: nobody can tell how long ago that was.
        """
        previous = self._usage_by_gateway.get(name)
        self._usage_by_gateway[name] = _GatewayUsage(
            incarnation=incarnation, usage_by_account=usage_by_account
        )
        if previous is None:
            return
        same_process = previous.incarnation == incarnation
        for account, usage in usage_by_account.items():
            before = (
                previous.usage_by_account.get(account) if same_process else None
            )
            added = usage.admitted - (before.admitted if before else 0)
            if added > 0:
                total = self._admitted_by_account.get(account, 0)
                self._admitted_by_account[account] = total + added

    def remove_gateway(self, name: str) -> None:
        """Drops a gateway that has left; what it admitted stays counted."""
        self._usage_by_gateway.pop(name, None)

    def usage_by_account(
        self, reported: Iterable[Mapping[str, AccountUsage]]
    ) -> dict[str, AccountUsage]:
        """Returns the use of all accounts together.

        Args:
            reported: What each live gateway told last.
        """
        demand_by_account: dict[str, float] = {}
        for usage_by_account in reported:
            for account, usage in usage_by_account.items():
                before = demand_by_account.get(account, 0.0)
                demand_by_account[account] = before + usage.demand
        accounts = {*demand_by_account, *self._admitted_by_account}
        return {
            account: AccountUsage(
                round(demand_by_account.get(account, 0.0), 1),
                self._admitted_by_account.get(account, 0),
            )
            for account in sorted(accounts)
        }


def summarize(
    reports: Iterable[GatewayReport], totals: UsageTotals, *, stamp: Stamp
) -> DataCentreSummary:
    """Returns the summary of a data centre.

    Args:
        reports: What its live gateways tell, the summing one first.
        totals: Their use of accounts.
        stamp: The present hybrid time.
    """
    reports = list(reports)
    own = reports[0].record
    demand: dict[str, float] = {}
    for report in reports:
        for service, rate in report.demand.items():
            demand[service] = round(demand.get(service, 0.0) + rate, 1)
    return DataCentreSummary(
        data_centre=own.data_centre,
        region=own.region,
        source=own.name,
        incarnation=own.incarnation,
        stamp=stamp,
        members=[_status(report) for report in reports],
        use=totals.usage_by_account(report.use for report in reports),
        demand=demand,
    )


def _status(report: GatewayReport) -> MemberStatus:
    record = report.record
    return MemberStatus(
        name=record.name,
        incarnation=record.incarnation,
        caller_address=record.caller_address,
        peer_address=record.peer_address,
        link_mbps=record.link_mbps,
        ready=report.ready,
        feed=report.feed,
    )
