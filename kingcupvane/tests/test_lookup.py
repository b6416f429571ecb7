"""Tests of look-ups of entries."""

import pytest

from kingcupvane.request.lookup import AddressBlockTable, choose_entries
from kingcupvane.tests.builders import configuration, entry


def lookup(current, live, leaving=()):
    return choose_entries(
        current,
        account="acme",
        data_centre="dc-a",
        live=live,
        leaving=leaving,
        count=2,
    )


def test_lookup_gives_an_account_few_entries_and_a_remote_fallback():
    local = [entry(f"e{i}", port=1000 + 10 * i) for i in range(6)]
    remote = entry("x1", data_centre="dc-b", port=2000)
    current = configuration(entries=(*local, remote))
    names = [e.name for e in local]
    first = lookup(current, names)
    assert len(first) == 3
    assert first[-1].name == "x1"
    failed = first[0].name
    after = lookup(current, [n for n in names if n != failed])
    assert after[0] == first[1]
    assert "x1" not in [e.name for e in lookup(current, names, ["x1"])]


def test_address_block_table_maps_an_address_to_its_nearest_data_centre():
    blocks = AddressBlockTable(starts=[0, 256, 1024], data_centres=[5, 6, 7])
    assert blocks.find_data_centre("0.0.1.7") == 6
    assert blocks.find_data_centre("255.0.0.1") == 7
    with pytest.raises(ValueError, match="ascending"):
        AddressBlockTable(starts=[1, 1], data_centres=[0, 0])
