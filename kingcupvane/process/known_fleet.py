"""The gateways that a gateway knows of: live, registered in the store, or both.

A gateway hears of the live ones by their reports. The store lists all that have
registered, also those that this gateway does not hear of, such as when it has
just started or is cut off.
"""

from collections.abc import Callable, Iterable

from kingcupvane.connection.messages import GatewayRecord
from kingcupvane.process.peering import PeerTable
from kingcupvane.request.retry_budgets import FleetView


class KnownFleet:
    """Live and registered gateways; does no I/O."""

    def __init__(self, *, peers: PeerTable, is_listed: Callable[[float], bool]):
        """Starts without registered gateways.

        Args:
            peers: The gateways that send reports.
            is_listed: Returns whether the store is sure to list this gateway;
                takes monotonic seconds.
        """
        self._peers = peers
        self._is_listed = is_listed
        self._registered_by_name: dict[str, GatewayRecord] = {}

    def add_registered(self, name: str, record: GatewayRecord) -> None:
        """Adds a gateway that the store lists."""
        self._registered_by_name[name] = record

    def remove_registered(self, name: str) -> None:
        """Removes a gateway that the store no longer lists."""
        self._registered_by_name.pop(name, None)

    def registered(self) -> Iterable[GatewayRecord]:
        """Returns the records of the gateways that the store lists."""
        return self._registered_by_name.values()

    def view(self, now: float) -> FleetView:
        """Returns what a division of an allowance needs to know."""
        live = set(self._peers.live_names(now))
        demand_by_service: dict[str, float] = {}
        for _, demand in self._peers.demands(now):
            for service, rate in demand.items():
                total = demand_by_service.get(service, 0.0)
                demand_by_service[service] = total + rate
        return FleetView(
            live_count=len(live),
            known_count=len(live.union(self._registered_by_name)),
            is_registered=self._is_listed(now),
            demand_by_service=demand_by_service,
        )
