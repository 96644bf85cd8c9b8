"""Table service and object store, which share their rate limits."""

from aiohttp import web
import attrs

from bilberrydeal import errors
from bilberrydeal import ports

from .. import _serve
from . import _faults
from . import _memory

#: A scan costs one read for so many rows.
ROWS_PER_READ = 50


@attrs.frozen
class ReadCall:
    """Body of a read."""

    keys: tuple[ports.RowKey, ...]


@attrs.frozen
class ScanCall:
    """Body of a scan."""

    table: str
    prefix: str
    after: str
    limit: int


@attrs.frozen
class Rows:
    """Answer to a read or a scan."""

    rows: tuple[ports.Row | None, ...]


class Stores:
    """Tables and objects under one budget of reads and one of writes."""

    def __init__(self, reads_per_s: float, writes_per_s: float) -> None:
        self._table = _memory.MemoryTable()
        self._objects: dict[str, bytes] = {}
        self._reads = _faults.Budget(reads_per_s)
        self._writes = _faults.Budget(writes_per_s)

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
        _take(self._reads, len(call.keys))
        return _serve.json_response(Rows(await self._table.read(call.keys, 0)))

    async def _scan(self, request: web.Request) -> web.Response:
        call = await _serve.read_body(request, ScanCall)
        rows = await self._table.scan(
            call.table, call.prefix, call.after, call.limit, 0
        )
        _take(self._reads, 1 + len(rows) / ROWS_PER_READ)
        return _serve.json_response(Rows(rows))

    async def _commit(self, request: web.Request) -> web.Response:
        transaction = await _serve.read_body(request, ports.Transaction)
        _take(self._writes, max(1, len(transaction.writes)))
        try:
            return _serve.json_response(
                await self._table.commit(transaction, 0)
            )
        except errors.TableConflict as error:
            failed = ports.Check(error.table, error.key, error.found_version)
            return _serve.json_response(failed, 409)

    async def _put(self, request: web.Request) -> web.Response:
        _take(self._writes, 1)
        self._objects[request.match_info["name"]] = await request.read()
        return _serve.json_response(_serve.EmptyBody())

    async def _get(self, request: web.Request) -> web.Response:
        _take(self._reads, 1)
        data = self._objects.get(request.match_info["name"])
        if data is None:
            return _serve.json_response(_serve.EmptyBody(), 404)
        return web.Response(body=data)

    async def _delete(self, request: web.Request) -> web.Response:
        _take(self._writes, 1)
        self._objects.pop(request.match_info["name"], None)
        return _serve.json_response(_serve.EmptyBody())


def _take(budget: _faults.Budget, amount: float) -> None:
    """Take from a budget or refuse the call with 503."""
    wait_s = budget.take(amount, _faults.monotonic_s())
    if wait_s:
        raise web.HTTPServiceUnavailable(
            headers={"Retry-After": f"{wait_s:.3f}"}
        )
