"""Look-up of the entries that a caller should use."""

import ipaddress
from array import array
from bisect import bisect_right
from collections.abc import Iterable, Sequence

import msgspec

from kingcupvane.request.load_balancing import rendezvous_rank
from kingcupvane.version.configuration import Configuration
from kingcupvane.version.items import Entry

# An account gets one more entry for each such amount of its rate, in requests
# per second.
ACCOUNT_RATE_PER_ENTRY = 200.0


class LookupResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Entries to use, best first, and how long to cache them.

    Attributes:
        entries: Addresses of the entries for callers.
        ttl_s: Time for which the answer may be cached, in seconds.
        revision: Configuration revision from which it was computed.
    """

    entries: list[str]
    ttl_s: float
    revision: int


def choose_entries(
    configuration: Configuration,
    *,
    account: str,
    data_centre: str,
    live: Sequence[str],
    leaving: Iterable[str],
    count: int,
) -> list[Entry]:
    """Returns the entries for a client account, best first.

    An account's requests are kept on few entries, so that its rate is divided
    among few; the number grows with the rate. The last one is an entry of
    another data centre, as a fallback if this one becomes unreachable.

    Args:
        configuration: The revision in force.
        account: Name of the client account; empty on open routes.
        data_centre: Data centre whose entries come first.
        live: Names of the live entries of that data centre.
        leaving: Names of leaving entries, which cannot be the fallback.
        count: Least number of entries of the data centre, if as many are live.
    """
    entries_by_name = configuration.entries_by_name
    limits = configuration.accounts_by_name.get(account)
    extra = int(limits.rate // ACCOUNT_RATE_PER_ENTRY) if limits else 0
    local = [name for name in live if name in entries_by_name]
    chosen = rendezvous_rank(local, hash_key=account)[: count + extra]
    excluded = set(leaving)
    regions = {
        e.region
        for e in entries_by_name.values()
        if e.data_centre == data_centre
    }
    remote = [
        entry.name
        for entry in entries_by_name.values()
        if entry.data_centre != data_centre and entry.name not in excluded
    ]
    same_region = [
        name for name in remote if entries_by_name[name].region in regions
    ]
    fallback = rendezvous_rank(same_region or remote, hash_key=account)[:1]
    return [entries_by_name[name] for name in [*chosen, *fallback]]


class AddressBlockTable:
    """Maps blocks of IPv4 addresses to the nearest data centre.

    Two sorted arrays take six bytes per block; a Python dict would take more
    than a hundred.
    """

    def __init__(self, *, starts: Sequence[int], data_centres: Sequence[int]):
        """Creates the table.

        Args:
            starts: First address of each block, ascending; a block reaches to
                the next one.
            data_centres: Index of the nearest data centre, for each block.

        Raises:
            ValueError: The arrays differ in length or are not ascending.
        """
        if len(starts) != len(data_centres):
            raise ValueError("starts and data_centres differ in length")
        if any(a >= b for a, b in zip(starts, starts[1:], strict=False)):
            raise ValueError("starts are not ascending")
        self._starts = array("I", starts)
        self._data_centres = array("H", data_centres)

    def __len__(self) -> int:
        """Returns the number of blocks."""
        return len(self._starts)

    def find_data_centre(self, address: str) -> int | None:
        """Returns the index of the data centre for an address, or None.

        Args:
            address: IPv4 address in dotted decimal notation.
        """
        number = int(ipaddress.IPv4Address(address))
        index = bisect_right(self._starts, number) - 1
        return self._data_centres[index] if index >= 0 else None
