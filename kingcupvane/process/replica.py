"""This daemon's copy of the configuration, which only moves forward."""

from collections.abc import Callable

from pydantic import ValidationError
from result import Err, Ok, Result

from kingcupvane.clock import Clock
from kingcupvane.process.timeline import Timeline
from kingcupvane.settings import ConfigurationSettings
from kingcupvane.version.configuration import Configuration, is_newer

ConfigurationListener = Callable[[Configuration], None]


class ConfigurationReplica:
    """Holds the revision in force and tells listeners of a newer one."""

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
            timeline: Gets each new revision.
            settings: What to do with an old revision.
        """
        self._clock = clock
        self._timeline = timeline
        self._settings = settings
        self._confirmed_at = float("-inf")
        self._listeners: list[ConfigurationListener] = []
        self.current = Configuration()

    def subscribe(self, listener: ConfigurationListener) -> None:
        """Calls `listener` with each new revision."""
        self._listeners.append(listener)

    def offer(self, document: str, *, source: str) -> bool:
        """Takes a configuration document into force if it is newer."""
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
        """Notes that `revision` was the store's some seconds ago."""
        if revision <= self.current.revision:
            confirmed_at = self._clock.now() - age_s
            self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def age_s(self) -> float:
        """Returns the seconds since the revision was known to be newest."""
        return self._clock.now() - self._confirmed_at

    def check_usable(self) -> Result[None, str]:
        """Returns why keyed requests must be refused, if so."""
        if self.current.revision == 0:
            return Err("This entry has no configuration yet.")
        max_age_s = self._settings.strict_after_s
        if max_age_s and self.age_s() > max_age_s:
            return Err("This entry's configuration is too old to be used.")
        return Ok(None)
