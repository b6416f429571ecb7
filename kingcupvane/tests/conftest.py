"""Fixtures and the Hypothesis profile of all tests."""

import pytest
from hypothesis import settings

from kingcupvane.clock import ManualClock
from kingcupvane.process.timeline import HybridClock, Timeline

settings.register_profile(
    "repeatable", derandomize=True, deadline=None, max_examples=200
)
settings.load_profile("repeatable")


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def timeline(clock):
    return Timeline(process="test", clock=HybridClock(clock=clock), capacity=64)
