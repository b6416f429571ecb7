"""Names of the platform's protocol; header names are in lower case."""

from kingcupvane.request.gateway_request import WireNames

NAMES = WireNames(
    attempt=b"kingcupvane-request-attempt-id",
    # The time left in milliseconds, not a point in time as its name suggests.
    deadline=b"kingcupvane-request-deadline",
    instance=b"kingcupvane-expected-instance",
    account=b"kingcupvane-tenant-name",
    load=b"kingcupvane-server-load",
    not_executed=b"kingcupvane-not-executed",
    stamp=b"kingcupvane-server-stamp",
    # The users name these two without the prefix of their other headers.
    leaving=frozenset({b"server-leaving", b"kingcupvane-server-leaving"}),
    limit=frozenset({b"server-limit", b"kingcupvane-server-limit"}),
    affinity_cookie="Kingcupvane-Affinity-Key",
    auth_scheme="Token",
    ready_path="/readyz",
    lookup_path="/resolve",
    lookup_region="region",
    lookup_data_centre="zone",
    lookup_addresses="addresses",
    lookup_ttl="ttlS",
)
