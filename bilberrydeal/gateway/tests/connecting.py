"""Connections of tests that are not about the time of a connection."""

import pytest

from ... import http1
from ...http1 import _client

#: Longer than a busy machine takes for a connection on loopback, in seconds.
PATIENCE_S = 60.0


def wait_for_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a connection take as long as the process waits for a processor.

    The limit of real time makes a gateway choose another endpoint.
    """
    connect = _client.connect

    async def connect_patiently(
        host: str, port: int, timeout_s: float, id_header: bytes = b""
    ) -> http1.ClientConnection:
        return await connect(host, port, PATIENCE_S, id_header)

    monkeypatch.setattr(_client, "connect", connect_patiently)
