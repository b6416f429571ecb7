"""Tests of settings files, command-line arguments and the reference."""

import re
from pathlib import Path

import pytest

from kingcupvane import cli, settings
from kingcupvane.errors import UsageError

VALID_SETTINGS = """
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


def test_optional_settings_have_defaults():
    assert parse(VALID_SETTINGS).lookup.ttl_s > 0


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (VALID_SETTINGS + "colour = 1", "store.colour: unknown key"),
        (VALID_SETTINGS.replace('"e1"', "7"), "name: "),
        (
            VALID_SETTINGS.replace("127.0.0.1:8001", "localhost:1"),
            "caller_address: exp",
        ),
        (VALID_SETTINGS.replace("[store]", "[stor]"), "store: missing"),
        (VALID_SETTINGS.replace('name = "e1"', ""), "name: missing"),
        ("name = ", "not TOML"),
    ],
)
def test_error_names_file_and_key_in_one_line(text, expected):
    with pytest.raises(UsageError) as error_info:
        parse(text)
    message = str(error_info.value)
    assert message.startswith("e1.toml: ")
    assert expected in message
    assert "\n" not in message


def test_missing_settings_file_exits_with_status_2(capsys, tmp_path):
    assert cli.main(["entry", str(tmp_path / "none.toml")]) == 2
    assert "none.toml: cannot be read" in capsys.readouterr().err


def test_unexpected_argument_stops_a_command_before_it_runs(monkeypatch):
    from kingcupvane.process import operator_commands

    applied = []
    monkeypatch.setattr(
        operator_commands, "apply", lambda *a: applied.append(a) or 0
    )
    assert cli.main(["apply", "n.toml", "o.toml", "--frce"]) == 2
    assert cli.main(["apply", "n.toml", "o.toml", "extra"]) == 2
    assert not applied
    assert cli.main(["apply", "1e3", "o.toml"]) == 0
    assert applied == [("1e3", "o.toml")]


def test_settings_page_equals_the_generated_reference():
    page = Path(__file__).parents[2] / "docs" / "SETTINGS.md"
    assert page.read_text() == settings.reference()


def test_reference_names_every_settings_model():
    for name in re.findall(
        r"class (\w+Settings)", Path(settings.__file__).read_text()
    ):
        assert name in settings.reference()
