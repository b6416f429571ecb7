"""A caller for scenarios: single requests, and load from threads."""

import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus

import httpcore
import msgspec
import uuid6

TIMEOUT_S = 8.0
THREADS = 12
FAILED = "failed"
ORDER_EVERY = 4


@dataclass(frozen=True, kw_only=True)
class Reply:
    """What a caller got.

    Attributes:
        status: HTTP status; 0 when the connection failed.
        reason: Title of the problem, `ok`, or `failed`.
        executed: What a refusal says of the work.
    """

    status: int
    reason: str
    executed: str = ""


def call(
    pool: httpcore.ConnectionPool,
    method: str,
    url: str,
    *,
    key: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> Reply:
    """Makes one request and reads its whole answer."""
    timeout = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
    try:
        response = pool.request(
            method,
            url,
            headers={
                "authorization": f"Bearer {key}",
                "content-length": str(len(body)),
                **(headers or {}),
            },
            content=body,
            extensions={"timeout": timeout},
        )
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ):
        return Reply(status=0, reason=FAILED)
    if response.status < 400:
        return Reply(status=response.status, reason="ok")
    try:
        problem = msgspec.json.decode(response.content)
    except msgspec.DecodeError:
        return Reply(status=response.status, reason="target-answer")
    return Reply(
        status=response.status,
        reason=problem["title"],
        executed=problem["executed"],
    )


def order_headers(key: str, *, attempt: int = 1) -> dict[str, str]:
    """Returns the headers of an order."""
    return {"idempotency-key": key, "idempotency-attempt": str(attempt)}


@dataclass(frozen=True, kw_only=True)
class LookedUp:
    """Entries to use, and the monotonic time until which to use them."""

    urls: list[str]
    ends_at: float


def look_up(
    pool: httpcore.ConnectionPool, urls: list[str], *, key: str
) -> LookedUp:
    """Asks the first entry that answers which entries to use."""
    for url in urls:
        try:
            response = pool.request(
                "GET",
                f"{url}/v1/entries?service=treaty",
                headers={"authorization": f"Bearer {key}"},
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            continue
        if response.status != HTTPStatus.OK:
            continue
        found = msgspec.json.decode(response.content)
        return LookedUp(
            urls=[f"http://{address}" for address in found["entries"]],
            ends_at=time.monotonic() + found["ttl_s"],
        )
    return LookedUp(urls=urls, ends_at=0.0)


@dataclass(kw_only=True)
class Load:
    """Requests at a steady rate from several threads.

    Attributes:
        urls: Start of the URL of each entry.
        key: The caller's key.
        rate: Requests per second.
        kind: `reads`, `orders` or `mixed`.
        look_up: Whether to ask which entries to use, as callers should.
        replies: Replies by reason.
        order_replies: Final reply by idempotency key.
    """

    urls: list[str]
    key: str
    rate: float
    kind: str
    look_up: bool = False
    replies: Counter = field(default_factory=Counter)
    order_replies: dict[str, Reply] = field(default_factory=dict)

    def __post_init__(self):
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(target=self._work, args=(index,), daemon=True)
            for index in range(THREADS)
        ]

    def start(self) -> None:
        """Starts the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops them when their requests have ended."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _work(self, index: int) -> None:
        period_s = THREADS / self.rate
        due = time.monotonic() + period_s * index / THREADS
        count = index
        answer = LookedUp(urls=self.urls, ends_at=float("inf"))
        if self.look_up:
            answer = LookedUp(urls=self.urls, ends_at=0.0)
        with httpcore.ConnectionPool() as pool:
            while not self._stop.wait(max(0.0, due - time.monotonic())):
                due += period_s
                count += 1
                if time.monotonic() >= answer.ends_at:
                    answer = look_up(pool, answer.urls, key=self.key)
                url = answer.urls[0]
                if not self.look_up:
                    url = self.urls[count % len(self.urls)]
                self._request(pool, url, count)

    def _request(
        self, pool: httpcore.ConnectionPool, url: str, count: int
    ) -> None:
        order = self.kind == "orders" or (
            self.kind == "mixed" and count % ORDER_EVERY == 0
        )
        if not order:
            reply = call(pool, "GET", f"{url}/treaty/pos/{count}", key=self.key)
        else:
            key = str(uuid6.uuid7())
            reply = call(
                pool,
                "POST",
                f"{url}/treaty/book",
                key=self.key,
                headers=order_headers(key),
                body=key.encode(),
            )
        with self._lock:
            self.replies[reply.reason] += 1
            if order:
                self.order_replies[key] = reply
