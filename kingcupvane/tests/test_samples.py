"""Tests that the samples are valid and equal their builder's output."""

import importlib.util
from pathlib import Path

import pytest
from result import Ok

from kingcupvane import settings
from kingcupvane.version.configuration import (
    Configuration,
    ReleaseNote,
    apply_note,
)

SAMPLES = Path(__file__).parents[2] / "samples"
USERS = ("rheinfall", "guild")


def load_builder():
    spec = importlib.util.spec_from_file_location("build", SAMPLES / "build.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_samples_equal_the_output_of_their_builder(tmp_path):
    load_builder().build(tmp_path)
    for user in USERS:
        built = sorted((tmp_path / user).rglob("*.*"))
        assert built
        for path in built:
            committed = SAMPLES / path.relative_to(tmp_path)
            assert committed.read_text() == path.read_text()


@pytest.mark.parametrize("user", USERS)
def test_sample_settings_and_release_notes_are_valid(user):
    folder = SAMPLES / user
    settings.load(str(folder / "store.toml"), settings.StoreStandinSettings)
    settings.load(str(folder / "operator.toml"), settings.OperatorSettings)
    for path in (folder / "entries").iterdir():
        settings.load(str(path), settings.EntrySettings)
    target_model = settings.TargetGroupStandinSettings
    targets = settings.load(str(folder / "targets.toml"), target_model)
    current = Configuration()
    for name in ("base", "withdraw-key"):
        note = settings.load(str(folder / f"notes/{name}.toml"), ReleaseNote)
        merged = apply_note(current, note)
        assert isinstance(merged, Ok), merged
        current = merged.ok_value
    configured_names = {target.name for target in current.items.targets}
    assert configured_names == {target.name for target in targets.targets}
    assert len(current.items.entries) == 9
    assert len(current.items.accounts) == 8
