"""Tests of attributing crashes of targets to requests."""

import pytest
import trio

from kingcupvane.connection.messages import Stamp
from kingcupvane.process.crash_verifier import (
    PENDING_SUSPICIONS_MAX,
    CrashVerifier,
)
from kingcupvane.process.evidence import EvidenceCounter
from kingcupvane.request.crashes import CrashRegistry
from kingcupvane.request.dispatch import ExchangeSample
from kingcupvane.request.gateway_request import (
    SuspectedCrash,
    UnansweredExchange,
)
from kingcupvane.settings import RetrySettings


def suspicion(address):
    return SuspectedCrash(
        fingerprint="p",
        target="t",
        process="t/1",
        address=address,
        started_at=1000.0,
    )


@pytest.fixture
def evidence():
    return EvidenceCounter()


@pytest.fixture
def verifier(clock, timeline, evidence):
    return CrashVerifier(
        crashes=CrashRegistry(settings=RetrySettings()),
        evidence=evidence,
        clock=clock,
        timeline=timeline,
    )


def kinds(timeline):
    return [event.kind for event in timeline.since(Stamp())]


@pytest.mark.parametrize("listens", [True, False])
def test_crash_is_recorded_only_if_the_target_does_not_listen(
    verifier, timeline, listens
):
    async def main():
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        if not listens:
            await listeners[0].aclose()
        verifier.report(suspicion(f"127.0.0.1:{port}"))
        with trio.move_on_after(0.2):
            await verifier.run()

    trio.run(main)
    died = "target-died-with-request" in kinds(timeline)
    assert died is not listens


@pytest.mark.parametrize("listens", [True, False])
def test_timeout_counts_against_the_version_only_if_the_target_listens(
    verifier, evidence, listens
):
    """A lost data centre may hold more targets of one version."""

    async def main():
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        if not listens:
            await listeners[0].aclose()
        sample = ExchangeSample(
            service="s", version="v2", route="/r/", failed=True, latency_s=1.0
        )
        verifier.report(
            UnansweredExchange(
                target="t", address=f"127.0.0.1:{port}", sample=sample
            )
        )
        with trio.move_on_after(0.2):
            await verifier.run()

    trio.run(main)
    assert len(evidence.of_services(["s"])) == (1 if listens else 0)


def test_suspicions_beyond_the_queue_size_are_dropped_and_recorded(
    verifier, timeline
):
    for _ in range(PENDING_SUSPICIONS_MAX + 1):
        verifier.report(suspicion("127.0.0.1:1"))
    assert kinds(timeline) == ["suspicion-dropped"]
