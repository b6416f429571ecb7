"""The era of the platform's store, which rises when an older copy takes over.

A store that was put back to an older copy gives out revisions a second time.
It names its era in its answers; the era of one that does not is told from a
complete listing whose revision is lower than one that was known before.
"""

from loguru import logger

# Largest era that is believed; a faulty value must not outrank all later ones.
ERA_MAX = 1_000_000


class StoreEra:
    """The highest era that is known; does no I/O.

    Attributes:
        current: The era, 0 at first.
        is_named: Whether the store has named it in an answer.
    """

    def __init__(self):
        """Starts in era 0, not named by any answer."""
        self.current = 0
        self.is_named = False
        self._logged_problems: set[str] = set()

    def hear(self, era: int) -> None:
        """Notes an era that a peer knows."""
        self.current = max(self.current, era)

    def resolve(self, named: str | None, *, asked_in: int) -> int | None:
        """Returns the era of an answer; raises the era that is known.

        An era that is missing or can't be right is logged once, and the answer
        counts as one of the era in which it was asked for.

        Args:
            named: The era as the answer names it; None without one.
            asked_in: The era that was known when the call was made.

        Returns:
            The era; None if the answer is of an earlier one and came late.
        """
        era = self._parse(named, asked_in=asked_in)
        if era < self.current:
            return None
        self.current = era
        return era

    def _parse(self, named: str | None, *, asked_in: int) -> int:
        if named is None:
            if self.is_named:
                self._log_once("missing", "")
            return asked_in
        digits = named.strip()
        if not (digits.isascii() and digits.isdigit()):
            self._log_once("not a number", named)
            return asked_in
        era = int(digits[: len(str(ERA_MAX)) + 1])
        if era > ERA_MAX:
            self._log_once("too large", named)
            return asked_in
        if era < asked_in:
            self._log_once("fell", named)
            return asked_in
        self.is_named = True
        return era

    def begin_next(self, *, asked_in: int) -> int | None:
        """Returns the era of a listing whose revision went back.

        Args:
            asked_in: The era of the position that is higher than the listing.

        Returns:
            The next era, or None if the store names its eras, so that its
            revisions can't go back within one, or if a later one is known.
        """
        if self.is_named or asked_in < self.current:
            return None
        self.current = asked_in + 1
        return self.current

    def _log_once(self, problem: str, named: str) -> None:
        if problem not in self._logged_problems:
            self._logged_problems.add(problem)
            logger.warning(
                "event=store-era-refused why={!r} value={!r} known={}",
                problem,
                named[:40],
                self.current,
            )
