"""Names on the platform's wire; those of headers in lower case."""

from kingcupvane.request.gateway_request import WireNames

NAMES = WireNames(
    attempt=b"kingcupvane-request-attempt-id",
    # Milliseconds from now, although the name suggests a point in time.
    deadline=b"kingcupvane-request-deadline",
    instance=b"kingcupvane-expected-instance",
    account=b"kingcupvane-tenant-name",
    load=b"kingcupvane-server-load",
    not_executed=b"kingcupvane-not-executed",
    stamp=b"kingcupvane-server-stamp",
    affinity_cookie="Kingcupvane-Affinity-Key",
    auth_scheme="Token",
    ready_path="/readyz",
    lookup_path="/resolve",
    lookup_region="region",
    lookup_data_centre="zone",
    lookup_addresses="addresses",
    lookup_ttl="ttlS",
)
