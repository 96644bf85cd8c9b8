"""HTTP server of the store and the usage interface, with faults."""

import asyncio
import collections.abc
import random
import sys
import time

from aiohttp import web
import attrs
import msgspec

from .. import _journal
from .. import _serve
from . import _rows

#: Interval between two checks for changes, in seconds.
POLL_INTERVAL_S = 0.02
#: Time for which an unanswered call stays open, in seconds.
UNANSWERED_TIMEOUT_S = 30.0
#: Table of endpoints.
ENDPOINTS_TABLE = "servers"
#: Time after which an endpoint row without a write is removed, in seconds.
ENDPOINT_TTL_S = 1.0
#: Table of the operators' rows.
OPERATORS_TABLE = "op"
#: Longest time after a restore until operators write again, in seconds.
REWRITE_DELAY_S = 1.0
#: Path prefix of the store's own interface.
STORE_PREFIX = "/bilberrydeal/"


@attrs.frozen
class UsageCall:
    """Journal event of a usage report."""

    window: int
    counts: dict[str, int]
    holder: str
    fence: int
    at_s: float


@attrs.define
class Faults:
    """Faults to inject into the store; set by tests."""

    #: How calls fail, empty for no failure: ``busy``, ``reset`` or ``silent``.
    mode: str = ""
    #: Share of the writes that are applied but not answered.
    lose_share: float = 0.0
    #: Share of the writes that are applied late and not answered.
    late_share: float = 0.0
    #: Delay before each answer, in seconds.
    delay_s: float = 0.0


@attrs.frozen
class Restore:
    """Call to come back from an older copy."""

    #: Age of the copy when the store goes away, in seconds.
    age_s: float
    #: How long the store is away, in seconds.
    away_s: float = 0.0


class StoreApp:
    """HTTP handlers and state of the store."""

    def __init__(self, journal: _journal.Journal) -> None:
        self.rows = _rows.Rows()
        self.faults = Faults()
        #: Rises by one with each restore.
        self.era = 1
        #: Restores under way; calls are refused meanwhile.
        self._restores = 0
        self._journal = journal
        self._random = random.Random(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._heartbeats: dict[str, float] = {}

    async def get(self, request: web.Request) -> web.StreamResponse:
        """Return the rows of a key range."""
        await self._apply_faults(request)
        query = request.query
        rows = self.rows.scan(
            query["table"],
            query.get("from", ""),
            query.get("to", ""),
            int(query.get("limit", "500")),
        )
        return self._rows_response(rows)

    async def feed(self, request: web.Request) -> web.StreamResponse:
        """Return changes, waiting up to ``wait_ms`` for the first."""
        await self._apply_faults(request)
        table = request.query["table"]
        after = int(request.query["after"])
        deadline_s = time.monotonic() + int(request.query["wait_ms"]) / 1000
        while True:
            try:
                rows = self.rows.changes(table, after)
            except _rows.HistoryGone:
                return _serve.json_response(_serve.EmptyBody(), 410)
            if rows or time.monotonic() >= deadline_s:
                return self._rows_response(rows)
            await asyncio.sleep(POLL_INTERVAL_S)
            await self._apply_faults(request)

    async def transact(self, request: web.Request) -> web.StreamResponse:
        """Apply a transaction if the expected row versions match."""
        await self._apply_faults(request)
        call = msgspec.json.decode(await request.read())
        expected = {
            (row["table"], row["key"]): row["row_version"]
            for row in call["expected"]
        }
        writes: dict[tuple[str, str], str | None] = {
            (row["table"], row["key"]): row["value"] for row in call["puts"]
        }
        writes |= {(row["table"], row["key"]): None for row in call["remove"]}
        if self._random.random() < self.faults.late_share:
            self._start(self._apply_late(expected, writes))
            await self._leave_unanswered(request)
        if not self.rows.apply(expected, writes, time.monotonic()):
            current = [self.rows.get(*name) for name in expected]
            return self._rows_response([row for row in current if row], 412)
        if self._random.random() < self.faults.lose_share:
            await self._leave_unanswered(request)
        return self._rows_response([])

    async def put(self, request: web.Request) -> web.StreamResponse:
        """Set a row as an operator or an endpoint does, without faults."""
        call = msgspec.json.decode(await request.read())
        if self._restores:
            raise web.HTTPServiceUnavailable
        name = (call["table"], call["key"])
        self.rows.apply({}, {name: call["value"]}, time.monotonic())
        if call["table"] == ENDPOINTS_TABLE:
            self._heartbeats[call["key"]] = time.monotonic()
        return _serve.json_response(_serve.EmptyBody())

    async def expire_endpoints(
        self, _app: web.Application
    ) -> collections.abc.AsyncIterator[None]:
        """Remove endpoints without heartbeats while the store runs."""

        async def sweep() -> None:
            while True:
                await asyncio.sleep(ENDPOINT_TTL_S / 10)
                oldest_s = time.monotonic() - ENDPOINT_TTL_S
                for key, at_s in list(self._heartbeats.items()):
                    if at_s < oldest_s:
                        del self._heartbeats[key]
                        self.rows.apply(
                            {},
                            {(ENDPOINTS_TABLE, key): None},
                            time.monotonic(),
                        )

        task = asyncio.create_task(sweep())
        yield
        task.cancel()

    async def usage(self, request: web.Request) -> web.StreamResponse:
        """Record a usage report."""
        call = msgspec.json.decode(await request.read())
        self._journal.append(
            UsageCall(
                window=call["window"],
                counts=call["counts"],
                holder=request.headers["Lease-Holder"],
                fence=int(request.headers["Fencing-Token"]),
                at_s=time.time(),
            )
        )
        return _serve.json_response(_serve.EmptyBody())

    async def fault(self, request: web.Request) -> web.StreamResponse:
        """Set the faults to inject."""
        call = msgspec.json.decode(await request.read())
        if call.pop("forget", False):
            self.rows.drop_history()
        self.faults = Faults(**call)
        return _serve.json_response(_serve.EmptyBody())

    async def restore(self, request: web.Request) -> web.StreamResponse:
        """Go away for a moment and come back from an older copy."""
        call = await _serve.read_body(request, Restore)
        copied_s = time.monotonic() - call.age_s
        self._restores += 1
        await asyncio.sleep(call.away_s)
        lost = self.rows.restore(copied_s)
        self.era += 1
        self._restores -= 1
        # Endpoints of the copy stay listed until they miss heartbeats.
        self._heartbeats = {
            row.key: time.monotonic()
            for row in self.rows.scan(ENDPOINTS_TABLE, "", "", sys.maxsize)
        }
        self._start(self._write_again(lost))
        return _serve.json_response(_serve.EmptyBody())

    async def _write_again(self, lost: list[_rows.Row]) -> None:
        """Write the operators' lost rows again, unless they did meanwhile."""
        newest = {
            (row.table, row.key): row.value
            for row in lost
            if row.table == OPERATORS_TABLE
        }
        before = {name: self.rows.get(*name) for name in newest}
        await asyncio.sleep(self._random.uniform(0.0, REWRITE_DELAY_S))
        for name, value in newest.items():
            if self.rows.get(*name) == before[name]:
                self.rows.apply({}, {name: value}, time.monotonic())

    async def add_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Add the era to every answer of the store."""
        if request.path.startswith(STORE_PREFIX):
            response.headers["Store-Era"] = str(self.era)

    def _start(
        self, work: collections.abc.Coroutine[object, object, None]
    ) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _rows_response(
        self, rows: list[_rows.Row], status: int = 200
    ) -> web.Response:
        return _serve.json_response(
            {
                "rows": [
                    {
                        "table": row.table,
                        "part": "",
                        "key": row.key,
                        "value": row.value,
                        "row_version": row.version,
                        "deleted": row.value is None,
                    }
                    for row in rows
                ],
                "has_more": False,
                "row_version": self.rows.version,
                "now_ms": time.monotonic() * 1000,
            },
            status,
        )

    async def _apply_late(
        self,
        expected: dict[tuple[str, str], int],
        writes: dict[tuple[str, str], str | None],
    ) -> None:
        await asyncio.sleep(self._random.uniform(0.5, 2.0))
        self.rows.apply(expected, writes, time.monotonic())

    async def _apply_faults(self, request: web.Request) -> None:
        if self._restores:
            raise web.HTTPServiceUnavailable
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.mode == "busy":
            raise web.HTTPServiceUnavailable
        if self.faults.mode == "reset":
            _serve.drop_connection(request)
        elif self.faults.mode == "silent":
            await self._leave_unanswered(request)

    async def _leave_unanswered(self, request: web.Request) -> None:
        """Leave a call unanswered, then drop its connection."""
        await asyncio.sleep(UNANSWERED_TIMEOUT_S)
        _serve.drop_connection(request)


def build(journal: _journal.Journal) -> web.Application:
    """Return the aiohttp application of the store."""
    store = StoreApp(journal)
    app = web.Application(client_max_size=_serve.MAX_BODY_BYTES)
    app.cleanup_ctx.append(store.expire_endpoints)
    app.on_response_prepare.append(store.add_era)
    app.add_routes(
        [
            web.get("/bilberrydeal/rows-get", store.get),
            web.get("/bilberrydeal/rows-feed", store.feed),
            web.post("/bilberrydeal/rows-tx", store.transact),
            web.post("/usage", store.usage),
            web.post("/standin/put", store.put),
            web.post("/standin/fault", store.fault),
            web.post("/standin/restore", store.restore),
        ]
    )
    return app
