"""The parts of a gateway that count and report usage, connected."""

from collections.abc import Callable

from kingcupvane.clock import Clock
from kingcupvane.process.metrics import GatewayMetrics
from kingcupvane.process.mirror import Mirror
from kingcupvane.process.peering import PeerTable
from kingcupvane.process.store import Store
from kingcupvane.process.timeline import Timeline
from kingcupvane.process.true_time import TrueTime
from kingcupvane.process.usage_duty import UsageSchedule
from kingcupvane.process.usage_exchange import UsageExchange
from kingcupvane.process.usage_ledger import UsageLedger
from kingcupvane.process.usage_receiver import UsageReceiver
from kingcupvane.process.usage_task import UsageTask
from kingcupvane.settings import GatewaySettings


class UsageReporting:
    """Counts, exchanges and reports usage.

    Attributes:
        ledger: Counts the requests that targets began.
        exchange: The part of the peers' reports that is about usage.
        task: Sends the reports while this gateway holds the duty.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        receiver: UsageReceiver,
        store: Store,
        mirror: Mirror,
        peers: PeerTable,
        is_eligible: Callable[[], bool],
        metrics: GatewayMetrics,
        clock: Clock,
        timeline: Timeline,
    ):
        """Creates the parts; the task's `run` starts reporting.

        Args:
            settings: Settings of the gateway, with those of usage reports.
            receiver: The platform's receiver of usage reports.
            store: The platform's store.
            mirror: The mirror of the store.
            peers: The known gateways.
            is_eligible: Returns whether this gateway may hold the duty.
            metrics: Counts windows and calls.
            clock: Monotonic clock, and the time of day.
            timeline: Log of holders and windows.
        """
        usage = settings.usage
        own = peers.own
        true_time = TrueTime(clock=clock)
        self.ledger = UsageLedger(
            name=own.name,
            incarnation=own.incarnation,
            data_centre=own.data_centre,
            window_s=usage.window_s,
            true_time=true_time,
        )
        self.exchange = UsageExchange(
            ledger=self.ledger,
            true_time=true_time,
            peers=peers,
            mirror=mirror,
            clock=clock,
        )
        self.task = UsageTask(
            own=own,
            store=store,
            mirror=mirror,
            receiver=receiver,
            ledger=self.ledger,
            schedule=UsageSchedule(
                window_s=usage.window_s, late_s=usage.late_s
            ),
            true_time=true_time,
            lease_s=max(settings.store.lease_min_s, usage.lease_s),
            calls_per_s=usage.calls_per_s,
            is_eligible=is_eligible,
            contention_delay_s=self.exchange.contention_delay_s,
            metrics=metrics,
            clock=clock,
            timeline=timeline,
        )
