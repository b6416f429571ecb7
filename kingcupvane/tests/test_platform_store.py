"""Tests of the client of the platform's store with scripted responses."""

import base64
import json
from urllib.parse import parse_qs

import pytest
import trio
from result import Err, Ok

from kingcupvane import asgi
from kingcupvane.connection import listener
from kingcupvane.platform.store import PlatformStore
from kingcupvane.process.item import Item
from kingcupvane.process.store import Conflict, HistoryCompacted
from kingcupvane.tests.silent_link import SilentLink


def encode_value(text):
    return base64.b64encode(text.encode()).decode()


def run_client(respond, check):
    """Runs `check(store)` against a scripted server; returns the calls.

    Args:
        respond: Maps method, path, query and body of a call to the status and
            the value of its response.
        check: Takes the client of the store.
    """
    calls = []

    async def handle(request, send):
        body = await request.read_body(limit=1 << 20)
        query = {k: v[0] for k, v in parse_qs(request.query).items()}
        calls.append((request.method, request.path, query, body))
        status, value = respond(*calls[-1])
        await asgi.json_response(value, status=status).send(send)

    async def main():
        stop = trio.Event()
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                urls = await nursery.start(serve, handle, stop)
                store = PlatformStore(
                    address=urls[0].removeprefix("http://"), timeout_s=5.0
                )
                await check(store)
                await store.close()
                stop.set()

    async def serve(handle, stop, task_status):
        await listener.serve(
            handle,
            address="127.0.0.1:0",
            stop=stop,
            task_status=task_status,
        )

    trio.run(main)
    return calls


def test_call_after_a_silent_connection_opens_a_new_one():
    """The kept connections of the pool were tried one after the other."""

    async def handle(request, send):
        await trio.sleep(0.02)
        item = {"key": "a", "value": encode_value("x"), "revision": 4}
        await asgi.json_response(item).send(send)

    async def serve(stop, task_status):
        await listener.serve(
            handle, address="127.0.0.1:0", stop=stop, task_status=task_status
        )

    async def main():
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            urls = await nursery.start(serve, stop)
            link = SilentLink(port=int(urls[0].rpartition(":")[2]))
            await nursery.start(link.run)
            store = PlatformStore(address=link.address, timeout_s=0.3)
            async with trio.open_nursery() as calls:
                for _ in range(3):
                    calls.start_soon(store.get, "a")
            assert link.opened == 3
            link.silence()
            assert (await store.get("a")).err_value.detail == "timeout"
            assert (await store.get("a")).is_ok()
            await store.close()
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_get_returns_the_item_or_an_absent_one():
    def respond(method, path, query, body):
        if query["key"] == "none":
            return 404, {}
        return 200, {"key": "a", "value": encode_value("x"), "revision": 4}

    async def check(store):
        assert await store.get("a") == Ok(Item(key="a", value="x", revision=4))
        assert await store.get("none") == Ok(Item(key="none"))

    run_client(respond, check)


def test_scan_reads_all_pages_and_returns_the_first_revision():
    def respond(method, path, query, body):
        first = "after" not in query
        key, revision = ("a", 10) if first else ("b", 12)
        items = [{"key": key, "value": encode_value(key), "revision": 3}]
        return 200, {"items": items, "morePages": first, "asOf": revision}

    async def check(store):
        listing = (await store.scan("")).ok_value
        assert [entry.key for entry in listing.items] == ["a", "b"]
        assert listing.revision == 10

    run_client(respond, check)


def test_watch_returns_changes_removals_and_compacted_history():
    def respond(method, path, query, body):
        if query["after"] == "1":
            return 410, {}
        events = [
            {"key": "a", "value": encode_value("x"), "revision": 8},
            {"key": "b", "revision": 9, "tombstone": True},
        ]
        return 200, {"events": events, "asOf": 9}

    async def check(store):
        listing = (await store.watch("", after=7, wait_s=2.5)).ok_value
        assert [entry.deleted for entry in listing.items] == [False, True]
        assert listing.revision == 9
        compacted = await store.watch("", after=1, wait_s=2.5)
        assert compacted == Err(HistoryCompacted(after=1))

    calls = run_client(respond, check)
    assert calls[0][2]["waitMs"] == "2500"


def test_compare_and_swap_sends_its_condition_and_returns_a_conflict():
    def respond(method, path, query, body):
        condition = json.loads(body)["expected"][0]
        if condition["revision"] == 5:
            return 200, {"revision": 6}
        current = {"key": "a", "value": encode_value("other"), "revision": 5}
        return 412, {"items": [current]}

    async def check(store):
        written = await store.compare_and_swap("a", "mine", expected=5, lease=3)
        assert written.ok_value.revision == 6
        refused = await store.compare_and_swap("a", "mine", expected=0)
        assert refused == Err(
            Conflict(current=Item(key="a", value="other", revision=5))
        )

    calls = run_client(respond, check)
    put = json.loads(calls[0][3])["puts"][0]
    assert put == {"key": "a", "value": encode_value("mine"), "lease": 3}


def test_granted_lease_is_renewed_and_an_ended_one_is_not():
    def respond(method, path, query, body):
        if path == "/kv-lease":
            assert json.loads(body) == {"ttlS_time": 6.0}
            return 200, {"lease": 77, "ttlS_time": 6}
        return (200, {"ttlS_time": 6}) if path.endswith("77") else (404, {})

    async def check(store):
        assert await store.grant(6.0) == Ok(77)
        assert await store.renew(77) == Ok(True)
        assert await store.renew(78) == Ok(False)

    run_client(respond, check)


@pytest.mark.parametrize(
    ("status", "may_have_taken_effect"),
    [(429, False), (503, False), (500, True), (403, True)],
)
def test_refused_write_reports_whether_it_may_have_taken_effect(
    status, may_have_taken_effect
):
    async def check(store):
        result = await store.compare_and_swap("a", "x", expected=0)
        assert result.err_value.may_have_taken_effect is may_have_taken_effect

    run_client(lambda *call: (status, {}), check)


def test_value_that_is_not_base64_becomes_the_replacement_character():
    def respond(method, path, query, body):
        return 200, {"key": "a", "value": "%%%", "revision": 4}

    async def check(store):
        assert (await store.get("a")).ok_value.value == "\ufffd"

    run_client(respond, check)


# A faulty store that always announces one more page kept a listing growing.
def test_listing_whose_pages_do_not_advance_is_an_error():
    page = {"items": [{"key": "servers/a"}], "morePages": True, "asOf": 3}

    async def check(store):
        result = await store.scan("servers/")
        assert "do not advance" in result.err_value.detail
        assert not result.err_value.may_have_taken_effect

    calls = run_client(lambda *_: (200, page), check)
    assert len(calls) == 2
