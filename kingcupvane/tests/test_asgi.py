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


def test_tls_requests_are_served_and_plain_text_is_refused(tmp_path):
    authority = trustme.CA()
    issued_certificate = authority.issue_cert("127.0.0.1")
    certificate = tmp_path / "certificate.pem"
    private_key = tmp_path / "key.pem"
    issued_certificate.cert_chain_pems[0].write_to_path(str(certificate))
    issued_certificate.private_key_pem.write_to_path(str(private_key))
    ssl_context = ssl.create_default_context()
    authority.configure_trust(ssl_context)
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
                ssl_context=ssl_context
            ) as pool:
                response = await pool.request(
                    "POST", f"https://{address}/", content=b"whole"
                )
            assert response.content == b"whole"
            await refuse_plain_text(address)
            stop.set()

    async def refuse_plain_text(address):
        async with httpcore.AsyncConnectionPool() as pool:
            with pytest.raises(httpcore.ProtocolError):
                await pool.request("GET", f"http://{address}/")

    trio.run(main)


def make_request(messages):
    queue = list(messages)

    async def receive():
        return queue.pop(0)

    return asgi.HttpRequest(
        method="POST", path="/", query="", headers={}, receive=receive
    )


def body_message(body, *, more):
    return {"type": "http.request", "body": body, "more_body": more}


def test_read_body_returns_the_whole_body_or_raises():
    complete = make_request(
        [body_message(b"ab", more=True), body_message(b"c", more=False)]
    )
    assert trio.run(lambda: complete.read_body(limit=3)) == b"abc"
    too_large = make_request(
        [body_message(b"ab", more=True), body_message(b"cd", more=False)]
    )
    with pytest.raises(asgi.BodyTooLargeError):
        trio.run(lambda: too_large.read_body(limit=3))
    disconnected = make_request(
        [body_message(b"ab", more=True), {"type": "http.disconnect"}]
    )
    with pytest.raises(asgi.CallerDisconnectedError):
        trio.run(lambda: disconnected.read_body(limit=3))


def test_free_addresses_are_distinct_and_can_be_bound():
    addresses = {free_address() for _ in range(20)}
    assert len(addresses) == 20
    host, _, port = addresses.pop().rpartition(":")
    with socket.socket() as probe:
        probe.bind((host, int(port)))
