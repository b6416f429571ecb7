"""The configuration in force, and its change by a release note."""

import functools
import hashlib
import itertools
from collections.abc import Iterable, Iterator, Mapping

from pydantic import Field, ValidationError, model_validator
from result import Err, Ok, Result

from kingcupvane.settings import Name, StrictModel, describe_validation_error
from kingcupvane.version.items import (
    Account,
    Entry,
    Key,
    Move,
    Service,
    Target,
    Version,
)

CHANGE_IDS_MAX = 256
DIGEST_BYTES = 16
LIVE_CONFIGURATION_KEY = "live/configuration"
LIVE_PREFIX = "live/"
KINDS = (
    "entries",
    "services",
    "targets",
    "accounts",
    "keys",
    "versions",
    "moves",
)


class Items(StrictModel):
    """Items of each kind, listed in a release note or a configuration."""

    entries: tuple[Entry, ...] = ()
    services: tuple[Service, ...] = ()
    targets: tuple[Target, ...] = ()
    accounts: tuple[Account, ...] = ()
    keys: tuple[Key, ...] = ()
    versions: tuple[Version, ...] = ()
    moves: tuple[Move, ...] = ()

    @model_validator(mode="after")
    def _check_unique(self) -> "Items":
        for kind in KINDS:
            names = [item.name for item in getattr(self, kind)]
            duplicates = sorted(
                {name for name in names if names.count(name) > 1}
            )
            if duplicates:
                raise ValueError(
                    f"{kind}: duplicate name {duplicates[0]},"
                    " expected each name once"
                )
        return self


class Withdrawals(StrictModel):
    """Names of the items that a release note withdraws, by kind."""

    entries: tuple[Name, ...] = ()
    services: tuple[Name, ...] = ()
    targets: tuple[Name, ...] = ()
    accounts: tuple[Name, ...] = ()
    keys: tuple[Name, ...] = ()
    versions: tuple[Name, ...] = ()
    moves: tuple[Name, ...] = ()


class ReleaseNote(StrictModel):
    """A set of edits that an operator applies as one change."""

    change_id: Name = Field(description="Unique name of the change.")
    add: Items = Items()
    change: Items = Items()
    withdraw: Withdrawals = Withdrawals()


class Configuration(StrictModel):
    """One revision of the configuration.

    Attributes:
        revision: Number of the revision; each change increases it by one.
        items: All items.
        change_ids: Ids of the latest changes, oldest first; a release note with
            one of these ids is refused.
        withdrawn_keys: Names of withdrawn keys, which can't be added again.
    """

    revision: int = 0
    items: Items = Items()
    change_ids: tuple[str, ...] = ()
    withdrawn_keys: tuple[str, ...] = ()

    @functools.cached_property
    def digest(self) -> str:
        """BLAKE2b digest of the whole configuration, in hexadecimal."""
        text = self.model_dump_json().encode()
        return hashlib.blake2b(text, digest_size=DIGEST_BYTES).hexdigest()

    @functools.cached_property
    def entries_by_name(self) -> Mapping[str, Entry]:
        """Entries by name."""
        return _index_by_name(self.items.entries)

    @functools.cached_property
    def services_by_name(self) -> Mapping[str, Service]:
        """Services by name."""
        return _index_by_name(self.items.services)

    @functools.cached_property
    def targets_by_name(self) -> Mapping[str, Target]:
        """Targets by name."""
        return _index_by_name(self.items.targets)

    @functools.cached_property
    def accounts_by_name(self) -> Mapping[str, Account]:
        """Client accounts by name."""
        return _index_by_name(self.items.accounts)

    @functools.cached_property
    def keys_by_name(self) -> Mapping[str, Key]:
        """Keys by name."""
        return _index_by_name(self.items.keys)

    @functools.cached_property
    def moves_by_name(self) -> Mapping[str, Move]:
        """Moves by name."""
        return _index_by_name(self.items.moves)

    @functools.cached_property
    def targets_by_service(self) -> Mapping[str, tuple[Target, ...]]:
        """Targets by the name of their service."""
        by_service: dict[str, list[Target]] = {}
        for target in self.items.targets:
            by_service.setdefault(target.service, []).append(target)
        return {name: tuple(group) for name, group in by_service.items()}

    @functools.cached_property
    def entries_by_data_centre(self) -> Mapping[str, tuple[Entry, ...]]:
        """Entries by the name of their data centre."""
        by_data_centre: dict[str, list[Entry]] = {}
        for entry in self.items.entries:
            by_data_centre.setdefault(entry.data_centre, []).append(entry)
        return {name: tuple(group) for name, group in by_data_centre.items()}


def _index_by_name(items: Iterable) -> dict:
    return {item.name: item for item in items}


def apply_note(
    current: Configuration, note: ReleaseNote
) -> Result[Configuration, tuple[str, ...]]:
    """Applies a release note to a configuration.

    Args:
        current: The configuration in force.
        note: The release note.

    Returns:
        The next revision, or one message for each edit that is invalid.
    """
    if note.change_id in current.change_ids:
        return Err(
            (
                f"change_id: {note.change_id} was already applied,"
                " expected a new id",
            )
        )
    errors = tuple(_edit_errors(current, note))
    if errors:
        return Err(errors)
    items_by_kind = {kind: _merge_kind(current, note, kind) for kind in KINDS}
    try:
        items = Items.model_validate(items_by_kind)
    except ValidationError as error:
        return Err((describe_validation_error(error),))
    dangling = tuple(_dangling_references(items))
    if dangling:
        return Err(dangling)
    ids = (*current.change_ids, note.change_id)[-CHANGE_IDS_MAX:]
    return Ok(
        Configuration(
            revision=current.revision + 1,
            items=items,
            change_ids=ids,
            withdrawn_keys=(*current.withdrawn_keys, *note.withdraw.keys),
        )
    )


def _merge_kind(
    current: Configuration, note: ReleaseNote, kind: str
) -> tuple[StrictModel, ...]:
    by_name = _index_by_name(getattr(current.items, kind))
    by_name.update(_index_by_name(getattr(note.add, kind)))
    by_name.update(_index_by_name(getattr(note.change, kind)))
    for name in getattr(note.withdraw, kind):
        del by_name[name]
    return tuple(by_name[name] for name in sorted(by_name))


def _edit_errors(current: Configuration, note: ReleaseNote) -> Iterator[str]:
    for kind in KINDS:
        existing = _index_by_name(getattr(current.items, kind))
        added = _index_by_name(getattr(note.add, kind))
        changed = _index_by_name(getattr(note.change, kind))
        withdrawn = getattr(note.withdraw, kind)
        for name in added:
            if name in existing:
                yield f"add.{kind}: {name} already exists, expected a new name"
        for name in itertools.chain(changed, withdrawn):
            if name not in existing:
                yield f"{kind}: {name} does not exist, expected a known name"
        for name in withdrawn:
            if name in added or name in changed:
                yield (
                    f"withdraw.{kind}: {name} is also added or changed,"
                    " expected one edit of each item"
                )
    for key in note.add.keys:
        if key.name in current.withdrawn_keys:
            yield f"add.keys: {key.name} was withdrawn, expected a new name"


def _dangling_references(items: Items) -> Iterator[str]:
    services = {item.name for item in items.services}
    accounts = {item.name for item in items.accounts}
    versions = {(item.service, item.name) for item in items.versions}
    for key in items.keys:
        if key.account not in accounts:
            yield (
                f"keys.{key.name}.account: expected an existing account,"
                f" found {key.account}"
            )
    for version in items.versions:
        if version.service not in services:
            yield (
                f"versions.{version.name}.service: expected an existing"
                f" service, found {version.service}"
            )
    for target in items.targets:
        if (target.service, target.version) not in versions:
            yield (
                f"targets.{target.name}: expected an existing version,"
                f" found {target.version} of {target.service}"
            )
    for move in items.moves:
        for name in (move.old, move.new):
            if (move.service, name) not in versions:
                yield (
                    f"moves.{move.name}: expected an existing version,"
                    f" found {name} of {move.service}"
                )


def is_newer(current: Configuration, offered: Configuration) -> bool:
    """Returns whether `offered` replaces `current` at a daemon."""
    return offered.revision > current.revision
