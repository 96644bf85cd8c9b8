"""Table service adapter: JSON over HTTP."""

import aiohttp
import attrs

from .. import decoding
from .. import errors
from .. import ports
from . import _exchange
from . import _registries


@attrs.frozen
class ReadRequest:
    """Request body of a read."""

    #: Rows to return.
    keys: tuple[ports.RowKey, ...]


@attrs.frozen
class ScanRequest:
    """Request body of a scan."""

    #: Name of the table.
    table: str
    #: Common prefix of the keys.
    prefix: str
    #: Only keys greater than this one are returned.
    after: str
    #: Maximum number of rows to return.
    limit: int


@attrs.frozen
class ReadResponse:
    """Response body of a read."""

    #: Rows in the order of the requested keys.
    rows: tuple[ports.Row | None, ...]


@attrs.frozen
class ScanResponse:
    """Response body of a scan."""

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
        """Return the rows in the order of ``keys``, from one snapshot."""
        response = await _exchange.read(
            self._session,
            f"{self._url}/read",
            timeout_s,
            ReadRequest(keys),
            ReadResponse,
        )
        if len(response.rows) != len(keys):
            raise errors.StoreUnavailable(operation="read")
        return response.rows

    async def scan(
        self,
        table: str,
        prefix: str,
        after: str,
        limit: int,
        timeout_s: float,
    ) -> tuple[ports.Row, ...]:
        """Return rows in key order."""
        response = await _exchange.read(
            self._session,
            f"{self._url}/scan",
            timeout_s,
            ScanRequest(table, prefix, after, limit),
            ScanResponse,
        )
        return response.rows

    async def commit(
        self, transaction: ports.Transaction, timeout_s: float
    ) -> ports.Committed:
        """Commit a transaction; raises ``TableConflict``.

        A response that can't be read leaves its outcome unknown.
        """
        response = await _exchange.write(
            self._session, f"{self._url}/commit", timeout_s, transaction
        )
        try:
            if response.status == _exchange.HTTP_CONFLICT:
                raise _conflict(response.decode(ports.Check))
            committed = response.decode(ports.Committed)
        except decoding.DECODE_ERRORS as error:
            raise errors.OutcomeUnknown(operation="commit") from error
        if len(committed.versions) != len(transaction.writes):
            raise errors.OutcomeUnknown(operation="commit")
        return committed


def _conflict(failed: ports.Check) -> errors.TableConflict:
    return errors.TableConflict(
        table=failed.table, key=failed.key, found_version=failed.version
    )
