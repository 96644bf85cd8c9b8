"""Sends usage reports to the platform."""

import collections.abc

import msgspec

from . import _calls

#: Maximum number of concurrent connections for reports.
CONNECTIONS_LIMIT = 4


class _UsageReport(msgspec.Struct):
    window: int
    counts: dict[str, int]


class UsageApi:
    """Sends usage reports under a lease."""

    def __init__(self, host: str, port: int) -> None:
        self._pool = _calls.pool(host, port, CONNECTIONS_LIMIT)

    def set_address(self, host: str, port: int) -> None:
        """Use another address for subsequent calls."""
        self._pool = _calls.pool_for_address(self._pool, host, port)

    async def report(
        self,
        window: int,
        counts: collections.abc.Mapping[str, int],
        holder: str,
        fence: int,
        timeout_s: float,
    ) -> bool:
        """Report a usage window; return whether the platform accepted it."""
        headers = [
            (b"lease-holder", holder.encode()),
            (b"fencing-token", b"%d" % fence),
        ]
        try:
            response = await _calls.call(
                self._pool,
                b"POST",
                b"/usage",
                _UsageReport(window, dict(counts)),
                timeout_s,
                headers,
            )
        except (_calls.NotSent, _calls.NoResponse):
            return False
        return response.status == 200
