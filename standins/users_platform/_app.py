"""The store and the usage interface over HTTP, with faults on request."""

import asyncio
import collections.abc
import random
import time

from aiohttp import web
import attrs
import msgspec

from .. import _journal
from .. import _serve
from . import _rows

#: Pause between two looks for changes, in seconds.
LOOK_S = 0.02
#: Time that an unanswered call is kept, in seconds.
NEVER_S = 30.0
#: Table of endpoints; a row that is not written for so long is removed.
ENDPOINTS = "servers"
LAPSE_S = 1.0


@attrs.frozen
class UsageCall:
    """A usage report that came in."""

    window: int
    counts: dict[str, int]
    holder: str
    fence: int
    at_s: float


@attrs.define
class Faults:
    """What goes wrong at the store; set by tests."""

    #: Empty, or how calls fail: ``busy``, ``reset`` or ``silent``.
    mode: str = ""
    #: Share of the writes that are carried out and not answered.
    lose_share: float = 0.0
    #: Share of the writes that are carried out late and not answered.
    late_share: float = 0.0
    #: Time that an answer takes, in seconds.
    delay_s: float = 0.0


class App:
    """One store."""

    def __init__(self, journal: _journal.Journal) -> None:
        self.rows = _rows.Rows()
        self.faults = Faults()
        self._journal = journal
        self._random = random.Random(1)
        self._late: set[asyncio.Task[None]] = set()
        self._beats: dict[str, float] = {}

    async def get(self, request: web.Request) -> web.StreamResponse:
        """Return rows."""
        await self._fail(request)
        asked = request.query
        found = self.rows.scan(
            asked["table"],
            asked.get("from", ""),
            asked.get("to", ""),
            int(asked.get("limit", "500")),
        )
        return self._rows_answer(found)

    async def feed(self, request: web.Request) -> web.StreamResponse:
        """Return changes, after a wait at most."""
        await self._fail(request)
        table = request.query["table"]
        after = int(request.query["after"])
        until_s = time.monotonic() + int(request.query["wait_ms"]) / 1000
        while True:
            try:
                found = self.rows.changes(table, after)
            except _rows.HistoryGone:
                return _serve.json_response(_serve.EmptyBody(), 410)
            if found or time.monotonic() >= until_s:
                return self._rows_answer(found)
            await asyncio.sleep(LOOK_S)
            await self._fail(request)

    async def transact(self, request: web.Request) -> web.StreamResponse:
        """Carry out a transaction."""
        await self._fail(request)
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
            task = asyncio.create_task(self._apply_late(expected, writes))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            await self._never(request)
        if not self.rows.apply(expected, writes):
            current = [self.rows.get(*name) for name in expected]
            return self._rows_answer([row for row in current if row], 412)
        if self._random.random() < self.faults.lose_share:
            await self._never(request)
        return self._rows_answer([])

    async def put(self, request: web.Request) -> web.StreamResponse:
        """Set a row as the operator or an endpoint does; no faults."""
        call = msgspec.json.decode(await request.read())
        name = (call["table"], call["key"])
        self.rows.apply({}, {name: call["value"]})
        if call["table"] == ENDPOINTS:
            self._beats[call["key"]] = time.monotonic()
        return _serve.json_response(_serve.EmptyBody())

    async def lapse(
        self, _app: web.Application
    ) -> collections.abc.AsyncIterator[None]:
        """Remove endpoints that went silent, while the store runs."""

        async def sweep() -> None:
            while True:
                await asyncio.sleep(LAPSE_S / 10)
                before_s = time.monotonic() - LAPSE_S
                for key, at_s in list(self._beats.items()):
                    if at_s < before_s:
                        del self._beats[key]
                        self.rows.apply({}, {(ENDPOINTS, key): None})

        task = asyncio.create_task(sweep())
        yield
        task.cancel()

    async def usage(self, request: web.Request) -> web.StreamResponse:
        """Take a usage report."""
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
        """Set what goes wrong."""
        call = msgspec.json.decode(await request.read())
        if call.pop("forget", False):
            self.rows.forget()
        self.faults = Faults(**call)
        return _serve.json_response(_serve.EmptyBody())

    def _rows_answer(
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
        self.rows.apply(expected, writes)

    async def _fail(self, request: web.Request) -> None:
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.mode == "busy":
            raise web.HTTPServiceUnavailable
        if self.faults.mode == "reset":
            _serve.drop_connection(request)
        elif self.faults.mode == "silent":
            await self._never(request)

    async def _never(self, request: web.Request) -> None:
        """Keep a call without an answer until its caller leaves."""
        await asyncio.sleep(NEVER_S)
        _serve.drop_connection(request)


def build(journal: _journal.Journal) -> web.Application:
    """Return the application."""
    store = App(journal)
    app = web.Application(client_max_size=_serve.MAX_BODY_BYTES)
    app.cleanup_ctx.append(store.lapse)
    app.add_routes(
        [
            web.get("/bilberrydeal/rows-get", store.get),
            web.get("/bilberrydeal/rows-feed", store.feed),
            web.post("/bilberrydeal/rows-tx", store.transact),
            web.post("/usage", store.usage),
            web.post("/standin/put", store.put),
            web.post("/standin/fault", store.fault),
        ]
    )
    return app
