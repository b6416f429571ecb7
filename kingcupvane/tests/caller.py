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
THREAD_COUNT = 12
FAILED = "failed"
REQUESTS_PER_ORDER = 4


@dataclass(frozen=True, kw_only=True)
class Reply:
    """Result of a request as the caller sees it.

    Attributes:
        status: HTTP status; 0 if the connection failed or timed out.
        reason: `ok`, `failed` without a response, the title of the problem
            document of a refusal, or `target-answer` for any other error
            status.
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


def order_headers(idempotency_key: str, *, attempt: int = 1) -> dict[str, str]:
    """Returns the headers of an order, a request with an idempotency key."""
    return {
        "idempotency-key": idempotency_key,
        "idempotency-attempt": str(attempt),
    }


@dataclass(frozen=True, kw_only=True)
class LookupResult:
    """Result of a look-up.

    Attributes:
        urls: Base URLs of the entries to use.
        expires_at: Monotonic time at which the result expires, in seconds.
    """

    urls: list[str]
    expires_at: float


def look_up(
    pool: httpcore.ConnectionPool, urls: list[str], *, key: str
) -> LookupResult:
    """Looks up the entries to use, at the first of `urls` that responds.

    If none responds, the result holds `urls` and has already expired.
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
        document = msgspec.json.decode(response.content)
        return LookupResult(
            urls=[f"http://{address}" for address in document["entries"]],
            expires_at=time.monotonic() + document["ttl_s"],
        )
    return LookupResult(urls=urls, expires_at=0.0)


@dataclass(kw_only=True)
class Load:
    """Sends requests at a steady rate from several threads.

    Attributes:
        urls: Base URLs of the entries.
        key: Key of a client account.
        rate: Requests per second.
        kind: `reads`, `orders` or `mixed`.
        uses_lookup: Whether requests go to the entries that a look-up returns,
            as callers should do, or to `urls` in turn.
        reply_counts: Number of replies by reason.
        order_replies_by_key: Reply to each order, by idempotency key.
    """

    urls: list[str]
    key: str
    rate: float
    kind: str
    uses_lookup: bool = False
    reply_counts: Counter = field(default_factory=Counter)
    order_replies_by_key: dict[str, Reply] = field(default_factory=dict)

    def __post_init__(self):
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(
                target=self._run_thread, args=(index,), daemon=True
            )
            for index in range(THREAD_COUNT)
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

    def _run_thread(self, index: int) -> None:
        period_s = THREAD_COUNT / self.rate
        due_at = time.monotonic() + period_s * index / THREAD_COUNT
        request_number = index
        lookup = LookupResult(urls=self.urls, expires_at=float("inf"))
        if self.uses_lookup:
            lookup = LookupResult(urls=self.urls, expires_at=0.0)
        with httpcore.ConnectionPool() as pool:
            while not self._stop.wait(max(0.0, due_at - time.monotonic())):
                due_at += period_s
                request_number += 1
                if time.monotonic() >= lookup.expires_at:
                    lookup = look_up(pool, lookup.urls, key=self.key)
                url = lookup.urls[0]
                if not self.uses_lookup:
                    url = self.urls[request_number % len(self.urls)]
                self._send_request(pool, url, request_number)

    def _send_request(
        self, pool: httpcore.ConnectionPool, url: str, request_number: int
    ) -> None:
        is_order = self.kind == "orders" or (
            self.kind == "mixed" and request_number % REQUESTS_PER_ORDER == 0
        )
        if not is_order:
            reply = call(
                pool, "GET", f"{url}/treaty/pos/{request_number}", key=self.key
            )
        else:
            idempotency_key = str(uuid6.uuid7())
            reply = call(
                pool,
                "POST",
                f"{url}/treaty/book",
                key=self.key,
                headers=order_headers(idempotency_key),
                body=idempotency_key.encode(),
            )
        with self._lock:
            self.reply_counts[reply.reason] += 1
            if is_order:
                self.order_replies_by_key[idempotency_key] = reply
