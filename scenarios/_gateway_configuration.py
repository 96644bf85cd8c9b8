"""Builds the configuration of a fleet, as its operator writes it."""

import collections.abc

#: Value of the header field ``Host`` on all routes.
HOST_HEADER = "shop.example"
#: Names of the plain services.
PLAIN_SERVICE = "bottega"
OTHER_PLAIN_SERVICE = "taverna"
#: Keys of the organisations, by name.
KEYS = {"russo": "key-russo", "derwent": "key-derwent"}


def configuration(
    version: int,
    keys: dict[str, str],
    added: collections.abc.Sequence[str] = (),
    target_latency_ms: float = 400.0,
    moved: collections.abc.Set[str] = frozenset(),
) -> dict[str, object]:
    """Return a configuration in the operator's format.

    ``added`` names routes beside the usual ones, which need no key, and
    ``moved`` those of them that go to the second plain service.
    """

    def added_route(name: str) -> object:
        service = OTHER_PLAIN_SERVICE if name in moved else PLAIN_SERVICE
        return route(name, "safe", service, public=True)

    def route(name: str, kind: str, service: str, **more: object) -> object:
        return {
            "name": name,
            "host": HOST_HEADER,
            "path_prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": 5000,
            "target_latency_ms": target_latency_ms,
            "priority": 1,
            "service": service,
            "max_attempts": 2,
            **more,
        }

    return {
        "version": version,
        "routes": [
            route("once", "unsafe", PLAIN_SERVICE),
            route("read", "safe", PLAIN_SERVICE),
            route("chat", "streaming", "llm", resumable=True),
            route("tell", "streaming", "llm", resumable=False),
            *(added_route(name) for name in added),
        ],
        "services": [
            {"name": PLAIN_SERVICE, "max_connections": 100},
            {"name": OTHER_PLAIN_SERVICE, "max_connections": 100},
            {
                "name": "llm",
                "max_connections": 100,
                "engine": {
                    "slots": 16,
                    "kv_capacity_tokens": 1_000_000,
                    "kv_hold_s": 5.0,
                    "role_switch_s": 0.5,
                },
            },
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 1_000_000,
            "header_timeout_ms": 2000,
            "idle_timeout_ms": 4000,
        },
        "tenants": [
            {"name": name, "api_keys": [key]} for name, key in keys.items()
        ],
    }
