"""What a gateway knows of the other gateways' use of a limit."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from kingcupvane.process.process_history import ProcessHistory
from kingcupvane.request.rate_limit import AccountUsage


@dataclass(kw_only=True, slots=True)
class Peer:
    """The last report of a peer and its share of each account's limit.

    Attributes:
        received_at: Time of the last report, in monotonic seconds.
        source: Name of the gateway whose counters the report contains.
        history: Processes of that gateway, with the usage that each reported.
        silence_timeout_s: Silence after which the peer counts as silent, in
            seconds.
        gateway_count: Number of gateways that it stands for.
        usage_by_account: Usage that it reported.
        share_by_account: Its share of each account's limit, 0 to 1. A share is
            computed once after each report and stays until the next one.
        demands: Demand of all peers just after its last report; None until the
            next update of the shares. Shares that are needed later, since the
            account was idle here, are computed from it.
    """

    received_at: float
    source: str
    history: ProcessHistory[Mapping[str, AccountUsage]]
    silence_timeout_s: float
    gateway_count: int = 1
    usage_by_account: Mapping[str, AccountUsage] = field(default_factory=dict)
    share_by_account: dict[str, float] = field(default_factory=dict)
    demands: "PeerDemands | None" = None

    def is_silent(self, now: float) -> bool:
        """Returns whether the peer's reports have stopped."""
        return now - self.received_at > self.silence_timeout_s

    def demand(self, account: str, floor: float) -> float:
        """Returns the peer's demand, in requests per second.

        Args:
            account: Name of the account.
            floor: Demand that each gateway is assumed to have at least.
        """
        usage = self.usage_by_account.get(account)
        demand = usage.demand if usage is not None else 0.0
        return self.gateway_count * floor + demand


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerDemands:
    """What all peers had reported at one time.

    Attributes:
        gateway_count: Number of gateways, this one included.
        demand_by_account: Sum of their demands, in requests per second.
    """

    gateway_count: int
    demand_by_account: Mapping[str, float]

    def with_floors(self, account: str, floor: float) -> float:
        """Returns an account's demand with the floors of all gateways."""
        demand = max(0.0, self.demand_by_account.get(account, 0.0))
        return self.gateway_count * floor + demand


@dataclass(kw_only=True, slots=True)
class PeerEstimate:
    """Requests assumed to be admitted by a peer since its last report.

    Attributes:
        admitted_rate: Assumed rate, in requests per second.
        assumed_admitted: Tokens taken for it since the last report.
    """

    admitted_rate: float = 0.0
    assumed_admitted: float = 0.0
