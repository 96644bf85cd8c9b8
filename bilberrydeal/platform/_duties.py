"""Usage reports to the platform."""

import collections.abc

import msgspec

from . import _exchange

#: Connections that reports may use at once.
CONNECTIONS_LIMIT = 4


class _Usage(msgspec.Struct):
    window: int
    counts: dict[str, int]


class UsageApi:
    """Sends usage reports under a lease."""

    def __init__(self, host: str, port: int) -> None:
        self._pool = _exchange.pool(host, port, CONNECTIONS_LIMIT)

    def move(self, host: str, port: int) -> None:
        """Call another address from now on."""
        self._pool = _exchange.moved(self._pool, host, port)

    async def report(
        self,
        window: int,
        counts: collections.abc.Mapping[str, int],
        holder: str,
        fence: int,
        timeout_s: float,
    ) -> bool:
        """Report a window; return whether the platform took it."""
        headers = [
            (b"lease-holder", holder.encode()),
            (b"fencing-token", b"%d" % fence),
        ]
        try:
            answer = await _exchange.call(
                self._pool,
                b"POST",
                b"/usage",
                _Usage(window, dict(counts)),
                timeout_s,
                headers,
            )
        except (_exchange.NotSent, _exchange.NoAnswer):
            return False
        return answer.status == 200
