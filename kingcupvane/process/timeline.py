"""The time line: events of all processes, ordered by hybrid logical clocks."""

import heapq
from collections import deque
from collections.abc import Iterable, Iterator

from loguru import logger

from kingcupvane.clock import MILLISECONDS_PER_SECOND, Clock
from kingcupvane.connection.messages import EventRecord, Stamp

# Lead of the stamps over the own wall clock from which a line tells both, in
# milliseconds.
LEAD_TOLD_MS = 1000


class HybridClock:
    """Hybrid logical clock: its stamps grow and order causes before effects."""

    def __init__(self, *, clock: Clock):
        """Creates a clock that follows the wall time of `clock`."""
        self._clock = clock
        self._latest = Stamp()

    def tick(self) -> Stamp:
        """Returns a stamp greater than all earlier and received ones."""
        wall_ms = int(self._clock.wall() * MILLISECONDS_PER_SECOND)
        if wall_ms > self._latest.wall_ms:
            self._latest = Stamp(wall_ms, 0)
        else:
            self._latest = Stamp(self._latest.wall_ms, self._latest.counter + 1)
        return self._latest

    def lead_ms(self) -> int:
        """Returns how far the stamps are ahead of the own wall clock."""
        wall_ms = int(self._clock.wall() * MILLISECONDS_PER_SECOND)
        return max(0, self._latest.wall_ms - wall_ms)

    def receive(self, stamp: Stamp) -> None:
        """Advances the clock to a stamp received from a peer."""
        self._latest = max(self._latest, stamp)


class Timeline:
    """The latest events of one process, in bounded memory.

    Attributes:
        dropped: Number of oldest events dropped to make room for later ones.
    """

    def __init__(self, *, process: str, clock: HybridClock, capacity: int):
        """Starts empty.

        Args:
            process: Name of this process.
            clock: Stamps the events.
            capacity: Largest number of events kept.
        """
        self._process = process
        self._clock = clock
        self._events: deque[EventRecord] = deque(maxlen=capacity)
        self.dropped = 0

    def record(self, kind: str, **fields: object) -> None:
        """Adds an event and logs it as one line."""
        flat_fields = []
        for name, value in fields.items():
            flat_fields.extend((name, str(value)))
        event = EventRecord(
            self._clock.tick(), self._process, kind, flat_fields
        )
        if len(self._events) == self._events.maxlen:
            self.dropped += 1
        self._events.append(event)
        line = render_event(event)
        lead_ms = self._clock.lead_ms()
        if lead_ms >= LEAD_TOLD_MS:
            line += f" own_ms={event.stamp.wall_ms - lead_ms}"
        logger.info("{}", line)

    def since(self, stamp: Stamp) -> list[EventRecord]:
        """Returns the events after `stamp`, oldest first."""
        return [event for event in self._events if event.stamp > stamp]


def quote_value(value: str) -> str:
    """Returns a value for a key=value line, quoted if needed.

    Double quotes in it become single quotes.
    """
    if value and not any(character in value for character in ' "='):
        return value
    return '"' + value.replace('"', "'") + '"'


def render_event(event: EventRecord) -> str:
    """Returns an event as one line of key=value pairs."""
    names = event.fields[0::2]
    values = event.fields[1::2]
    pairs = [
        f"{n}={quote_value(v)}" for n, v in zip(names, values, strict=True)
    ]
    time = f"{event.stamp.wall_ms}.{event.stamp.counter}"
    head = f"time_ms={time} process={event.process} event={event.kind}"
    return " ".join([head, *pairs])


def merge_timelines(
    timelines: Iterable[list[EventRecord]],
) -> Iterator[EventRecord]:
    """Yields the events of several processes in the order of their stamps."""
    return heapq.merge(*timelines)
