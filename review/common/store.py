"""A stand-in of the platform's store and of its usage interface.

It loses nothing that it has acknowledged, except where a script lets it come
back from an older copy (``restore``), as the news pages describe.
"""

import asyncio
import base64
import dataclasses
import json
import time

from . import record
from . import wire

#: Time that a call takes, in seconds.
CALL_S = 0.004
#: History that the feed can go back to, in seconds.
HISTORY_S = 20.0
#: Interval of the check-ins of workers, in seconds.
HEARTBEAT_S = 1.2
#: Check-ins that a worker may miss before its entry is removed.
MISSED = 3
#: Largest value of a row, in bytes.
ROW_BYTES = 65_536
_PAGE_ROWS = 500
_PAGE_BYTES = 1_000_000

Name = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class Write:
    """A row as written; ``None`` as its value removes it."""

    at_s: float
    version: int
    name: Name
    value: bytes | None


@dataclasses.dataclass(frozen=True)
class Usage:
    """A usage report that the platform accepted."""

    at_s: float
    window: int
    counts: dict[str, int]
    holder: str
    token: int


class Store:
    """Rows with versions from one counter, and a feed of changes."""

    def __init__(self, log: record.Record) -> None:
        self.version = 0
        self.era = 1
        self.away = False
        self.usage: list[Usage] = []
        self._log = log
        self._rows: dict[Name, Write] = {}
        self._writes: list[Write] = []
        self._seen_s: dict[str, float] = {}
        self._changed = asyncio.Condition()

    # What the operator and the workers do.

    def row(self, table: str, key: str) -> Write | None:
        """Return a row."""
        return self._rows.get((table, key))

    async def put(self, table: str, key: str, value: bytes) -> bool:
        """Write a row; return whether the store acknowledged it."""
        assert len(value) <= ROW_BYTES
        if self.away:
            return False
        if table == "servers":
            self._seen_s[key] = time.monotonic()
        await self._apply({(table, key): value})
        return True

    async def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._seen_s.pop(key, None)
        if (table, key) in self._rows:
            await self._apply({(table, key): None})

    async def restore(self, age_s: float, away_s: float) -> None:
        """Go away, and come back from a copy taken ``age_s`` before that."""
        copied_s = time.monotonic() - age_s
        self.away = True
        await asyncio.sleep(away_s)
        kept = [each for each in self._writes if each.at_s <= copied_s]
        lost = self._writes[len(kept) :]
        self._writes = kept
        self._rows = {}
        for each in kept:
            self._set(each)
        self.version = kept[-1].version if kept else 0
        self.era += 1
        self.away = False
        self._log.add(
            "store", f"back, era {self.era}, {len(lost)} writes are gone"
        )
        # The operator writes again what it wrote.
        for each in lost:
            if each.name[0] == "op" and each.value is not None:
                await self._apply({each.name: each.value})

    async def expire(self) -> None:
        """Remove the entries of workers that miss their check-ins."""
        while True:
            await asyncio.sleep(0.1)
            oldest_s = time.monotonic() - MISSED * HEARTBEAT_S
            for key, seen_s in list(self._seen_s.items()):
                if seen_s < oldest_s and not self.away:
                    self._log.add("store", f"servers/{key} has expired")
                    await self.remove("servers", key)

    # The calls of the system.

    async def handle(self, request: wire.Request) -> None:
        """Answer one call."""
        if self.away:
            await wire.answer(request, 503)
            return
        await asyncio.sleep(CALL_S)
        if request.path == "/bilberrydeal/rows-get":
            await self._get(request)
        elif request.path == "/bilberrydeal/rows-feed":
            await self._feed(request)
        elif request.path == "/bilberrydeal/rows-tx":
            await self._transact(request)
        else:
            await wire.answer(request, 404)

    async def handle_usage(self, request: wire.Request) -> None:
        """Accept a usage report."""
        call = request.json()
        report = Usage(
            time.monotonic(),
            call["window"],
            call["counts"],
            request.headers["lease-holder"],
            int(request.headers["fencing-token"]),
        )
        self.usage.append(report)
        self._log.add(
            "usage",
            f"window {report.window} from {report.holder},"
            f" number {report.token}: {json.dumps(report.counts)}",
        )
        await wire.answer(request, 200)

    async def _get(self, request: wire.Request) -> None:
        query = request.query
        first, last = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit", _PAGE_ROWS)), _PAGE_ROWS)
        names = sorted(
            name
            for name in self._rows
            if name[0] == query["table"]
            and name[1] >= first
            and (not last or name[1] < last)
        )
        rows: list[dict] = []
        size = 0
        for name in names[:limit]:
            rows.append(_encode(self._rows[name]))
            size += len(rows[-1]["value"])
            if size > _PAGE_BYTES:
                break
        await self._answer(request, 200, rows, len(rows) < len(names))

    async def _feed(self, request: wire.Request) -> None:
        query = request.query
        after = int(query["after"])
        deadline_s = time.monotonic() + int(query["wait_ms"]) / 1000
        era = self.era
        while True:
            if self.away or self.era != era:
                await wire.answer(request, 503)
                return
            if after > self.version or after < self._history_start():
                await self._answer(request, 410, [])
                return
            rows = self._changes(query["table"], after)
            left_s = deadline_s - time.monotonic()
            if rows or left_s <= 0.0:
                await self._answer(request, 200, rows)
                return
            async with self._changed:
                try:
                    async with asyncio.timeout(min(left_s, 0.25)):
                        await self._changed.wait()
                except TimeoutError:
                    pass

    async def _transact(self, request: wire.Request) -> None:
        call = request.json()
        names = [(row["table"], row["key"]) for row in call["expected"]]
        holds = all(
            self._version_of(name) == row["row_version"]
            for name, row in zip(names, call["expected"], strict=True)
        )
        if not holds:
            found = [self._rows[name] for name in names if name in self._rows]
            await self._answer(request, 412, [_encode(row) for row in found])
            return
        changes: dict[Name, bytes | None] = {
            (row["table"], row["key"]): base64.b64decode(row["value"])
            for row in call["puts"]
        }
        changes |= {(row["table"], row["key"]): None for row in call["remove"]}
        if any(table in ("op", "servers") for table, _key in changes):
            await wire.answer(request, 403)
            return
        await self._apply(changes)
        await self._answer(request, 200, [])

    async def _answer(
        self,
        request: wire.Request,
        status: int,
        rows: list[dict],
        has_more: bool = False,
    ) -> None:
        body = {
            "rows": rows,
            "has_more": has_more,
            "row_version": self.version,
            "now_ms": time.monotonic() * 1000,
        }
        fields = {"Store-Era": str(self.era)}
        await wire.answer_json(request, status, body, fields)

    async def _apply(self, changes: dict[Name, bytes | None]) -> None:
        self.version += 1
        for name, value in changes.items():
            write = Write(time.monotonic(), self.version, name, value)
            self._writes.append(write)
            self._set(write)
        async with self._changed:
            self._changed.notify_all()

    def _set(self, write: Write) -> None:
        if write.value is None:
            self._rows.pop(write.name, None)
        else:
            self._rows[write.name] = write

    def _version_of(self, name: Name) -> int:
        row = self._rows.get(name)
        return row.version if row is not None else 0

    def _history_start(self) -> int:
        oldest_s = time.monotonic() - HISTORY_S
        older = [each for each in self._writes if each.at_s < oldest_s]
        return older[-1].version if older else 0

    def _changes(self, table: str, after: int) -> list[dict]:
        newest: dict[Name, Write] = {}
        for each in reversed(self._writes):
            if each.version <= after:
                break
            if each.name[0] == table:
                newest.setdefault(each.name, each)
        found = sorted(newest.values(), key=lambda each: each.version)
        return [_encode(each) for each in found]


def _encode(write: Write) -> dict:
    encoded = {
        "table": write.name[0],
        "part": "",
        "key": write.name[1],
        "row_version": write.version,
    }
    if write.value is None:
        return {**encoded, "deleted": True}
    return {**encoded, "value": base64.b64encode(write.value).decode()}
