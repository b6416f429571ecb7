"""Replica of the configuration, whose revision only increases."""

from collections.abc import Callable

from pydantic import ValidationError
from result import Err, Ok, Result

from kingcupvane.clock import Clock
from kingcupvane.process.timeline import Timeline
from kingcupvane.settings import ConfigurationSettings
from kingcupvane.version.configuration import Configuration, is_newer

ConfigurationListener = Callable[[Configuration], None]


class ConfigurationReplica:
    """Holds the configuration in force and notifies listeners of a newer one.

    Attributes:
        current: The configuration in force; revision 0 before the first.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        timeline: Timeline,
        settings: ConfigurationSettings,
    ):
        """Starts with the empty revision 0.

        Args:
            clock: Monotonic clock.
            timeline: Log of new revisions.
            settings: Limit on the age of an unconfirmed configuration.
        """
        self._clock = clock
        self._timeline = timeline
        self._settings = settings
        self._confirmed_at = float("-inf")
        self._listeners: list[ConfigurationListener] = []
        self.current = Configuration()

    def subscribe(self, listener: ConfigurationListener) -> None:
        """Adds a listener, which is called with each newer configuration."""
        self._listeners.append(listener)

    def offer(self, document: str, *, source: str) -> bool:
        """Puts a configuration in force if it is valid and newer.

        Args:
            document: The configuration as JSON.
            source: Where it comes from: `store` or a peer's address; for the
                time line.

        Returns:
            Whether it is in force now.
        """
        try:
            offered = Configuration.model_validate_json(document)
        except ValidationError:
            self._timeline.record("configuration-malformed", source=source)
            return False
        if not is_newer(self.current, offered):
            return False
        self.current = offered
        self._timeline.record(
            "configuration-in-force",
            revision=offered.revision,
            digest=offered.digest,
            source=source,
        )
        for listener in self._listeners:
            listener(offered)
        return True

    def confirm(self, revision: int, *, age_s: float = 0.0) -> None:
        """Records that the store held `revision` `age_s` seconds ago.

        A revision newer than the one in force is ignored: it doesn't confirm
        that the one in force is up to date.
        """
        if revision <= self.current.revision:
            confirmed_at = self._clock.now() - age_s
            self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def confirmed_age_s(self) -> float:
        """Returns the time since the store last confirmed the revision.

        In seconds; infinite before the first confirmation.
        """
        return self._clock.now() - self._confirmed_at

    def check_usable(self) -> Result[None, str]:
        """Returns an error with the reason if requests must be refused."""
        if self.current.revision == 0:
            return Err("This entry has no configuration yet.")
        max_age_s = self._settings.strict_after_s
        if max_age_s and self.confirmed_age_s() > max_age_s:
            return Err("This entry's configuration is too old to be used.")
        return Ok(None)
