"""Builders of registered targets and of traffic plans."""

from kingcupvane.version.plan import (
    AccountPlan,
    Destination,
    RegisteredTarget,
    RouteKind,
    RoutePlan,
    ServicePlan,
    TrafficPlan,
)


def registered_target(name, **changes):
    fields = {
        "name": name,
        "service": "reads",
        "version": "v1",
        "address": "127.0.0.1:1",
        "data_centre": "north-a",
        "region": "north",
        "slots": 4,
        "leaving": False,
        "cold_left_s": 0.0,
        "started_ms": 1,
        "sequence": 1,
    }
    return RegisteredTarget(**{**fields, **changes})


def route_plan(**changes):
    fields = {
        "name": "r",
        "host": "h.example",
        "prefix": "/r/",
        "kind": RouteKind.IDEMPOTENT,
        "timeout_s": 2.0,
        "latency_objective_s": 0.25,
        "priority": 1,
        "destinations": (Destination(service="reads"),),
        "attempts_max": 2,
        "is_public": False,
        "sticky": True,
        "regions": frozenset(),
    }
    return RoutePlan(**{**fields, **changes})


def account_plan(**changes):
    fields = {
        "name": "acme",
        "keys": frozenset({"secret"}),
        "priority": None,
        "rate": 0.0,
        "burst": 0.0,
        "regions": frozenset(),
    }
    return AccountPlan(**{**fields, **changes})


def traffic_plan(*routes, accounts=(), number=1):
    services = {
        destination.service: ServicePlan(
            name=destination.service,
            health_path="/",
            connections_max=100,
            cold_s=3.0,
            cold_rate=9.0,
        )
        for route in routes
        for destination in route.destinations
    }
    return TrafficPlan(
        number=number,
        routes=routes,
        services_by_name=services,
        accounts_by_name={account.name: account for account in accounts},
    )
