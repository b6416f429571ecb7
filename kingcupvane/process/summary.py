"""Summaries of a data centre, which its hub sends to other data centres."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from kingcupvane.connection.messages import (
    DataCentreSummary,
    GatewayReport,
    MemberStatus,
    Stamp,
)
from kingcupvane.process.process_history import ProcessHistory
from kingcupvane.request.pace_state import merge_reports
from kingcupvane.request.priority_load import add_loads
from kingcupvane.request.rate_limit import AccountUsage


@dataclass(kw_only=True, slots=True)
class UsageTotals:
    """Requests admitted by the gateways of a data centre, by account.

    Each gateway counts from its own start; the totals never decrease when one
    of them restarts or leaves.
    """

    _admitted_by_account: dict[str, int] = field(default_factory=dict)
    _history_by_gateway: dict[
        str, ProcessHistory[Mapping[str, AccountUsage]]
    ] = field(default_factory=dict)

    def update(
        self,
        name: str,
        incarnation: int,
        usage_by_account: Mapping[str, AccountUsage],
        *,
        now: float,
    ) -> None:
        """Adds what a gateway has admitted since its previous report.

        Requests counted in its first report are left out, since the time of
        their admission is unknown. So are late reports of an earlier process.

        Args:
            name: Name of the gateway.
            incarnation: Start time of its process, in Unix milliseconds.
            usage_by_account: Its usage, counted since that start.
            now: Monotonic seconds.
        """
        history = self._history_by_gateway.get(name)
        if history is None:
            history = ProcessHistory()
            history.receive(incarnation, usage_by_account, now)
            self._history_by_gateway[name] = history
            return
        if not history.accepts(incarnation, now):
            return
        previous = history.last(incarnation) or {}
        history.receive(incarnation, usage_by_account, now)
        for account, usage in usage_by_account.items():
            before = previous.get(account)
            added = usage.admitted - (before.admitted if before else 0)
            if added > 0:
                total = self._admitted_by_account.get(account, 0)
                self._admitted_by_account[account] = total + added

    def remove_gateway(self, name: str) -> None:
        """Removes a gateway that has left; its requests stay in the totals."""
        self._history_by_gateway.pop(name, None)

    def usage_by_account(
        self, reported: Iterable[Mapping[str, AccountUsage]]
    ) -> dict[str, AccountUsage]:
        """Returns the data centre's usage by account.

        Args:
            reported: Last usage by account of each live gateway; gives the
                demand.
        """
        demand_by_account: dict[str, float] = {}
        rate_by_account: dict[str, float] = {}
        for usage_by_account in reported:
            for account, usage in usage_by_account.items():
                if usage.rate > 0.0:
                    rate_by_account[account] = min(
                        usage.rate, rate_by_account.get(account, usage.rate)
                    )
                before = demand_by_account.get(account, 0.0)
                demand_by_account[account] = before + usage.demand
        accounts = {*demand_by_account, *self._admitted_by_account}
        return {
            account: AccountUsage(
                round(demand_by_account.get(account, 0.0), 1),
                self._admitted_by_account.get(account, 0),
                rate_by_account.get(account, 0.0),
            )
            for account in sorted(accounts)
        }


def summarize(
    reports: Iterable[GatewayReport], totals: UsageTotals, *, stamp: Stamp
) -> DataCentreSummary:
    """Returns the summary of a data centre.

    Args:
        reports: Reports of its live gateways; the first is the source's own.
        totals: Requests that they admitted, by account.
        stamp: Current time of the hybrid clock.
    """
    reports = list(reports)
    own = reports[0].record
    demand_by_service: dict[str, float] = {}
    in_flight_by_target: dict[str, int] = {}
    for report in reports:
        for target, count in report.in_flight.items():
            in_flight_by_target[target] = (
                in_flight_by_target.get(target, 0) + count
            )
        for service, rate in report.demand.items():
            demand_by_service[service] = round(
                demand_by_service.get(service, 0.0) + rate, 1
            )
    return DataCentreSummary(
        data_centre=own.data_centre,
        region=own.region,
        source=own.name,
        incarnation=own.incarnation,
        stamp=stamp,
        members=[_status(report) for report in reports],
        use=totals.usage_by_account(report.use for report in reports),
        demand=demand_by_service,
        in_flight=in_flight_by_target,
        paces=merge_reports(report.paces for report in reports),
        loads=add_loads(report.loads for report in reports),
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
