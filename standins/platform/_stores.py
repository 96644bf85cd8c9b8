"""Table service and object store with shared rate limits."""

from aiohttp import web
import attrs

from bilberrydeal import errors
from bilberrydeal import ports

from .. import _serve
from . import _faults
from . import _memory

#: Number of scanned rows that count as one read.
ROWS_PER_READ = 50


@attrs.frozen
class ReadCall:
    """Body of ``/v1/tables/read``."""

    keys: tuple[ports.RowKey, ...]


@attrs.frozen
class ScanCall:
    """Body of ``/v1/tables/scan``."""

    table: str
    prefix: str
    after: str
    limit: int


@attrs.frozen
class Rows:
    """Response to a read or a scan."""

    rows: tuple[ports.Row | None, ...]


class Stores:
    """Tables and objects that share one read and one write limit."""

    def __init__(self, reads_per_s: float, writes_per_s: float) -> None:
        self._table = _memory.MemoryTable()
        self._objects: dict[str, bytes] = {}
        self._read_limit = _faults.TokenBucket(reads_per_s)
        self._write_limit = _faults.TokenBucket(writes_per_s)

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of both services."""
        return [
            web.post("/v1/tables/read", self._read),
            web.post("/v1/tables/scan", self._scan),
            web.post("/v1/tables/commit", self._commit),
            web.put("/v1/objects/{name}", self._put),
            web.get("/v1/objects/{name}", self._get),
            web.delete("/v1/objects/{name}", self._delete),
        ]

    async def _read(self, request: web.Request) -> web.Response:
        call = await _serve.read_body(request, ReadCall)
        _acquire(self._read_limit, len(call.keys))
        return _serve.json_response(Rows(await self._table.read(call.keys, 0)))

    async def _scan(self, request: web.Request) -> web.Response:
        call = await _serve.read_body(request, ScanCall)
        rows = await self._table.scan(
            call.table, call.prefix, call.after, call.limit, 0
        )
        _acquire(self._read_limit, 1 + len(rows) / ROWS_PER_READ)
        return _serve.json_response(Rows(rows))

    async def _commit(self, request: web.Request) -> web.Response:
        transaction = await _serve.read_body(request, ports.Transaction)
        _acquire(self._write_limit, max(1, len(transaction.writes)))
        try:
            return _serve.json_response(
                await self._table.commit(transaction, 0)
            )
        except errors.TableConflict as error:
            failed = ports.Check(error.table, error.key, error.found_version)
            return _serve.json_response(failed, 409)

    async def _put(self, request: web.Request) -> web.Response:
        _acquire(self._write_limit, 1)
        self._objects[request.match_info["name"]] = await request.read()
        return _serve.json_response(_serve.EmptyBody())

    async def _get(self, request: web.Request) -> web.Response:
        _acquire(self._read_limit, 1)
        data = self._objects.get(request.match_info["name"])
        if data is None:
            return _serve.json_response(_serve.EmptyBody(), 404)
        return web.Response(body=data)

    async def _delete(self, request: web.Request) -> web.Response:
        _acquire(self._write_limit, 1)
        self._objects.pop(request.match_info["name"], None)
        return _serve.json_response(_serve.EmptyBody())


def _acquire(bucket: _faults.TokenBucket, amount: float) -> None:
    """Acquire tokens, or reject the call with status 503."""
    wait_s = bucket.try_acquire(amount, _faults.monotonic_s())
    if wait_s:
        raise web.HTTPServiceUnavailable(
            headers={"Retry-After": f"{wait_s:.3f}"}
        )
