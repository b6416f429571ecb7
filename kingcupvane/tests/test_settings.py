"""Tests of settings files, command-line arguments and the reference."""

import re
from pathlib import Path

import pytest

from kingcupvane import cli, settings
from kingcupvane.errors import UsageError

GOOD = """
name = "e1"
region = "r1"
data_centre = "dc-a"
caller_address = "127.0.0.1:8001"
peer_address = "127.0.0.1:8002"
[store]
address = "127.0.0.1:8000"
"""


def parse(text):
    return settings.parse(text, settings.EntrySettings, source="e1.toml")


def test_defaults_are_complete():
    assert parse(GOOD).lookup.ttl_s > 0


@pytest.mark.parametrize(
    ("text", "words"),
    [
        (GOOD + "colour = 1", "store.colour: unknown key"),
        (GOOD.replace('"e1"', "7"), "name: "),
        (GOOD.replace("127.0.0.1:8001", "localhost:1"), "caller_address: exp"),
        (GOOD.replace("[store]", "[stor]"), "store: missing"),
        (GOOD.replace('name = "e1"', ""), "name: missing"),
        ("name = ", "not TOML"),
    ],
)
def test_fault_names_file_and_key(text, words):
    with pytest.raises(UsageError) as caught:
        parse(text)
    message = str(caught.value)
    assert message.startswith("e1.toml: ")
    assert words in message
    assert "\n" not in message


def test_missing_file_exits_2(capsys, tmp_path):
    assert cli.main(["entry", str(tmp_path / "none.toml")]) == 2
    assert "none.toml: cannot be read" in capsys.readouterr().err


def test_leftover_word_stops_a_command_before_it_runs(monkeypatch):
    from kingcupvane.process import operator

    ran = []
    monkeypatch.setattr(operator, "apply", lambda *a: ran.append(a) or 0)
    assert cli.main(["apply", "n.toml", "o.toml", "--frce"]) == 2
    assert cli.main(["apply", "n.toml", "o.toml", "extra"]) == 2
    assert not ran
    assert cli.main(["apply", "1e3", "o.toml"]) == 0
    assert ran == [("1e3", "o.toml")]


def test_every_setting_stands_in_the_reference():
    page = Path(__file__).parents[2] / "docs" / "SETTINGS.md"
    assert page.read_text() == settings.reference()


def test_reference_names_every_model():
    for name in re.findall(
        r"class (\w+Settings)", Path(settings.__file__).read_text()
    ):
        assert name in settings.reference()
