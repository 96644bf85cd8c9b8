"""Settings of the gateways of a fleet."""

#: Ports on which each gateway listens.
CALLERS_PORT = 20_010
READY_PORT = 20_011
METRICS_PORT = 20_012
PEERS_PORT = 20_013
#: Bounds of a gateway, unless a fleet has others.
BOUNDS = {
    "grace_s": 5.0,
    "extra_sends_ratio": 0.2,
    "extra_sends_slack": 50.0,
    "extra_sends_window_s": 10.0,
    "lease_ms": 1000.0,
    "usage_window_s": 2.0,
    "usage_due_s": 6.0,
}


def settings(number: int, address: str, store: str) -> dict[str, object]:
    """Return the settings of a gateway, in the format of its file.

    It listens on ``address``, and the store is at ``store``, with its port.
    """
    return {
        "role": "gateway",
        "host_id": f"gateway-{number}",
        "failure_domain": f"d{number % 2}",
        "listen": {
            "callers": f"{address}:{CALLERS_PORT}",
            "readiness": f"{address}:{READY_PORT}",
            "metrics": f"{address}:{METRICS_PORT}",
            "peers": f"{address}:{PEERS_PORT}",
        },
        "platform": {"store": store, "usage": store},
        "bounds": BOUNDS,
        "open_files_limit": 4096,
        "memory_limit_mb": 300,
    }
