"""Tests of TLS, of reading request bodies and of free addresses."""

import socket
import ssl

import httpcore
import pytest
import trio
import trustme

from kingcupvane import asgi
from kingcupvane.connection import listener
from kingcupvane.standin.fleet import free_address


async def echo(request, send):
    body = await request.read_body(limit=10)
    await asgi.HttpResponse(body=body).send(send)


def test_callers_may_be_served_over_tls(tmp_path):
    authority = trustme.CA()
    issued = authority.issue_cert("127.0.0.1")
    certificate = tmp_path / "certificate.pem"
    private_key = tmp_path / "key.pem"
    issued.cert_chain_pems[0].write_to_path(str(certificate))
    issued.private_key_pem.write_to_path(str(private_key))
    trusting = ssl.create_default_context()
    authority.configure_trust(trusting)
    address = free_address()

    async def main():
        stop = trio.Event()

        async def serve(task_status):
            await listener.serve(
                echo,
                address=address,
                stop=stop,
                certificate=str(certificate),
                private_key=str(private_key),
                task_status=task_status,
            )

        async with trio.open_nursery() as nursery:
            await nursery.start(serve)
            async with httpcore.AsyncConnectionPool(
                ssl_context=trusting
            ) as pool:
                answer = await pool.request(
                    "POST", f"https://{address}/", content=b"whole"
                )
            assert answer.content == b"whole"
            await refuse_plain_text(address)
            stop.set()

    async def refuse_plain_text(address):
        async with httpcore.AsyncConnectionPool() as pool:
            with pytest.raises(httpcore.ProtocolError):
                await pool.request("GET", f"http://{address}/")

    trio.run(main)


def request_of(messages):
    queue = list(messages)

    async def receive():
        return queue.pop(0)

    return asgi.HttpRequest(
        method="POST", path="/", query="", headers={}, receive=receive
    )


def part(body, *, more):
    return {"type": "http.request", "body": body, "more_body": more}


def test_body_is_whole_or_an_error():
    whole = request_of([part(b"ab", more=True), part(b"c", more=False)])
    assert trio.run(lambda: whole.read_body(limit=3)) == b"abc"
    large = request_of([part(b"ab", more=True), part(b"cd", more=False)])
    with pytest.raises(asgi.BodyTooLargeError):
        trio.run(lambda: large.read_body(limit=3))
    cut = request_of([part(b"ab", more=True), {"type": "http.disconnect"}])
    with pytest.raises(asgi.CallerDisconnectedError):
        trio.run(lambda: cut.read_body(limit=3))


def test_free_addresses_differ():
    addresses = {free_address() for _ in range(20)}
    assert len(addresses) == 20
    host, _, port = addresses.pop().rpartition(":")
    with socket.socket() as probe:
        probe.bind((host, int(port)))
