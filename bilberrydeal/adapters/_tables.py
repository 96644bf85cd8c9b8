"""The table service as JSON over HTTP."""

import aiohttp
import attrs

from .. import errors
from .. import ports
from . import _exchange
from . import _registries


@attrs.frozen
class ReadCall:
    """Body of a read."""

    #: Rows to return.
    keys: tuple[ports.RowKey, ...]


@attrs.frozen
class ScanCall:
    """Body of a scan."""

    #: Name of the table.
    table: str
    #: What keys start with.
    prefix: str
    #: Keys up to this one are left out.
    after: str
    #: Most rows to return.
    limit: int


@attrs.frozen
class ReadAnswer:
    """Answer to a read."""

    #: Rows in the order of the keys.
    rows: tuple[ports.Row | None, ...]


@attrs.frozen
class ScanAnswer:
    """Answer to a scan."""

    #: Rows in key order.
    rows: tuple[ports.Row, ...]


@_registries.TABLES.register("http_json")
class HttpTable:
    """Implements :class:`bilberrydeal.ports.TableService`."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = f"{url}/v1/tables"

    async def read(
        self, keys: tuple[ports.RowKey, ...], timeout_s: float
    ) -> tuple[ports.Row | None, ...]:
        """Return the rows in the order of ``keys``, one snapshot."""
        reply = await _exchange.read(
            self._session, f"{self._url}/read", timeout_s, ReadCall(keys)
        )
        return reply.decode(ReadAnswer).rows

    async def scan(
        self,
        table: str,
        prefix: str,
        after: str,
        limit: int,
        timeout_s: float,
    ) -> tuple[ports.Row, ...]:
        """Return rows in key order."""
        reply = await _exchange.read(
            self._session,
            f"{self._url}/scan",
            timeout_s,
            ScanCall(table, prefix, after, limit),
        )
        return reply.decode(ScanAnswer).rows

    async def commit(
        self, transaction: ports.Transaction, timeout_s: float
    ) -> ports.Committed:
        """Carry out a transaction."""
        reply = await _exchange.write(
            self._session, f"{self._url}/commit", timeout_s, transaction
        )
        if reply.status == _exchange.HTTP_CONFLICT:
            failed = reply.decode(ports.Check)
            raise errors.TableConflict(
                table=failed.table,
                key=failed.key,
                found_version=failed.version,
            )
        return reply.decode(ports.Committed)
