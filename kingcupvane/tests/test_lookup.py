"""Tests of look-ups."""

import pytest

from kingcupvane.request.lookup import ClientBlockTable, choose_entries
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


def test_lookup_keeps_an_account_on_few_entries():
    near = [entry(f"e{i}", port=1000 + 10 * i) for i in range(6)]
    far = entry("x1", data_centre="dc-b", port=2000)
    current = configuration(entries=(*near, far))
    names = [e.name for e in near]
    first = lookup(current, names)
    assert len(first) == 3
    assert first[-1].name == "x1"
    gone = first[0].name
    after = lookup(current, [n for n in names if n != gone])
    assert after[0] == first[1]
    assert "x1" not in [e.name for e in lookup(current, names, ["x1"])]


def test_client_blocks_find_the_nearest_site():
    blocks = ClientBlockTable(starts=[0, 256, 1024], data_centres=[5, 6, 7])
    assert blocks.find_data_centre("0.0.1.7") == 6
    assert blocks.find_data_centre("255.0.0.1") == 7
    with pytest.raises(ValueError, match="ascending"):
        ClientBlockTable(starts=[1, 1], data_centres=[0, 0])
