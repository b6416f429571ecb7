"""HTTP client of scenarios: single requests, and a steady load."""

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
    """Result of a request as the caller sees it.

    Attributes:
        status: HTTP status; 0 if the connection failed or timed out.
        reason: Title of the problem document, `target-answer` for an error
            without one, `ok`, or `failed` without a response.
        executed: Whether the request was executed, as stated by a refusal:
            `no`, `yes` or `unknown`.
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
    """Sends one request and reads the whole response."""
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
    """Returns the headers that make a request an order."""
    return {"idempotency-key": key, "idempotency-attempt": str(attempt)}


@dataclass(frozen=True, kw_only=True)
class LookedUp:
    """Result of a look-up.

    Attributes:
        urls: Base URLs of the entries to use.
        ends_at: Monotonic time at which the result expires, in seconds.
    """

    urls: list[str]
    ends_at: float


def look_up(
    pool: httpcore.ConnectionPool, urls: list[str], *, key: str
) -> LookedUp:
    """Looks up the entries to use, at the first of `urls` that responds.

    Without a response the result holds `urls` and has expired.
    """
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
    """Sends requests at a steady rate from several threads.

    Attributes:
        urls: Base URLs of the entries.
        key: Key of a client account.
        rate: Requests per second.
        kind: `reads`, `orders` or `mixed`.
        look_up: Whether requests go to the entries that a look-up returns, as
            callers should do, or to `urls` in turn.
        replies: Number of replies by reason.
        order_replies: Reply to each order, by idempotency key.
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
        """Stops the threads and waits for the end of their requests."""
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
