"""The operator's configuration for the cases."""

HOST = "hulo84.example"
KEY = "s989anu6wsjnbanfqasn"
SERVICE = "lookup-desk"
TENANT = "cuka620"


def resource(kind: str, name: str, spec: dict) -> dict:
    """Returns one resource of a configuration."""
    return {"resourceKind": kind, "metadata": {"name": name}, "spec": spec}


def route(
    name: str,
    prefix: str,
    *,
    kind: str = "safe",
    service: str = SERVICE,
    timeout_s: float = 2,
) -> dict:
    """Returns a route like those of the Rheinfall deployment."""
    return resource(
        "routes",
        name,
        {
            "host": HOST,
            "pathPrefix": prefix,
            "kind": kind,
            "timeoutS": timeout_s,
            "goalLatencyS": 0.25 if kind == "safe" else 0.4,
            "priority": 2 if kind == "safe" else 1,
            "service": service,
            "maxAttempts": 2,
            "public": False,
            "sticky": True,
            "homeRegions": [],
        },
    )


def service(name: str = SERVICE) -> dict:
    """Returns a service of the configuration."""
    return resource(
        "services",
        name,
        {
            "healthPath": "/healthz",
            "maxConns": 360,
            "protocol": "h1",
            "tls": False,
            "coldStartS": 3.0,
            "coldPerS": 12.0,
        },
    )


def tenant(name: str = TENANT, keys: tuple[str, ...] = (KEY,)) -> dict:
    """Returns a tenant without a limit."""
    return resource(
        "tenants",
        name,
        {"apiKeys": list(keys), "priority": 1, "homeRegions": []},
    )


def configuration(resources: list[dict], *, version: int = 7) -> dict:
    """Returns a configuration with the usual limits."""
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutS": 3,
        "idleTimeoutS": 15,
    }
    return {
        "version": f"{version:08x}",
        "resources": [
            *resources,
            {"resourceKind": "limits", "metadata": {}, "spec": limits},
        ],
    }
