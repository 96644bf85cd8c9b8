"""Stand-in of the platform: its store and its interface for usage.

Usage: ``python3 store.py ADDRESS PORT RECORD``. The store follows the pages:
a single version counter, a feed with a history of 20 s, and entries of
workers that are removed after three check-in intervals of silence.
"""

import asyncio
import base64
import json
import pathlib
import sys
import time
import urllib.parse

import http_wire

BEAT_S = 1.2
LOST_BEATS = 3
HISTORY_S = 20.0
POLL_S = 0.02
MAX_ROWS = 500
SYSTEM_TABLES = ("op", "servers")


class Store:
    """Rows, their versions and the history of their changes."""

    def __init__(self, record: str) -> None:
        self.version = 0
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        #: Time, version, name and value of each change.
        self.history: list[tuple[float, int, tuple, str | None]] = []
        self.dropped = 0
        self.beats: dict[str, float] = {}
        self.record = pathlib.Path(record)

    def note(self, **fields: object) -> None:
        """Write a line to the record."""
        line = {"at": time.monotonic(), **fields}
        with self.record.open("a", encoding="utf-8") as file:
            file.write(json.dumps(line) + "\n")

    def apply(self, writes: dict[tuple, str | None]) -> None:
        """Apply the writes of one transaction."""
        self.version += 1
        for name, value in writes.items():
            if value is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = (value, self.version)
            self.history.append((time.monotonic(), self.version, name, value))
        while self.history and (
            time.monotonic() - self.history[0][0] > HISTORY_S
        ):
            self.dropped = self.history.pop(0)[1]

    def answer(
        self, rows: list[dict], status: int = 200, more: bool = False
    ) -> http_wire.Response:
        """Return an answer about rows."""
        response = http_wire.json_response(
            {
                "rows": rows,
                "row_version": self.version,
                "now_ms": time.monotonic() * 1000,
                "has_more": more,
            },
            status,
        )
        response.headers["Store-Era"] = "1"
        return response

    def row(self, name: tuple) -> dict:
        """Return a row as answered."""
        value, version = self.rows[name]
        table, part, key = name
        return {
            "table": table,
            "part": part,
            "key": key,
            "value": value,
            "row_version": version,
        }

    def get(self, query: dict[str, str]) -> http_wire.Response:
        """Answer ``rows-get``."""
        first, last = query.get("from", ""), query.get("to", "")
        names = sorted(
            name
            for name in self.rows
            if name[:2] == (query["table"], query.get("part", ""))
            and name[2] >= first
            and (not last or name[2] < last)
        )
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        return self.answer(
            [self.row(name) for name in names[:limit]],
            more=len(names) > limit,
        )

    async def feed(self, query: dict[str, str]) -> http_wire.Response:
        """Answer ``rows-feed``."""
        after = int(query["after"])
        ends = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if after < self.dropped or after > self.version:
                return self.answer([], 410)
            rows = []
            for _at, version, name, value in self.history:
                if version > after and name[0] == query["table"]:
                    row = {
                        "table": name[0],
                        "part": name[1],
                        "key": name[2],
                        "row_version": version,
                    }
                    row |= {"deleted": True} if value is None else {}
                    row |= {} if value is None else {"value": value}
                    rows.append(row)
            if rows or time.monotonic() >= ends:
                return self.answer(rows)
            await asyncio.sleep(POLL_S)

    def transact(self, call: dict) -> http_wire.Response:
        """Answer ``rows-tx``."""

        def name(row: dict) -> tuple:
            return row["table"], row.get("part", ""), row["key"]

        entries = [*call["puts"], *call.get("remove", [])]
        if any(row["table"] in SYSTEM_TABLES for row in entries):
            return self.answer([], 403)
        expected = call.get("expected", [])
        if any(
            self.rows.get(name(row), ("", 0))[1] != row["row_version"]
            for row in expected
        ):
            found = [
                self.row(name(row))
                for row in expected
                if name(row) in self.rows
            ]
            return self.answer(found, 412)
        writes = {name(row): row["value"] for row in call["puts"]}
        writes |= {name(row): None for row in call.get("remove", [])}
        self.apply(writes)
        return self.answer([])

    async def handle(
        self, request: http_wire.Request
    ) -> http_wire.Response | None:
        """Answer one call."""
        query = dict(urllib.parse.parse_qsl(request.target.partition("?")[2]))
        match request.path.rpartition("/")[2]:
            case "rows-get":
                return self.get(query)
            case "rows-feed":
                return await self.feed(query)
            case "rows-tx":
                return self.transact(request.json())
            case "usage":
                self.note(
                    call="usage",
                    holder=request.headers.get("lease-holder"),
                    fence=request.headers.get("fencing-token"),
                    body=request.json(),
                )
                return http_wire.json_response({})
            case "put":
                call = request.json()
                self.put(call["table"], call["key"], call["value"])
                return http_wire.json_response({"version": self.version})
            case "beat":
                call = request.json()
                if call["id"] not in self.beats:
                    self.note(entry=call["id"], state="registered")
                self.beats[call["id"]] = time.monotonic()
                self.put("servers", call["id"], call["entry"])
                return http_wire.json_response({})
        return http_wire.json_response({}, 404)

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator or a worker does."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        self.apply({(table, "", key): encoded})

    async def expire(self) -> None:
        """Remove the entries of workers that are silent."""
        while True:
            await asyncio.sleep(0.05)
            oldest = time.monotonic() - LOST_BEATS * BEAT_S
            for key, at in list(self.beats.items()):
                if at < oldest:
                    del self.beats[key]
                    self.apply({("servers", "", key): None})
                    self.note(entry=key, state="removed")


async def main() -> None:
    """Serve until killed."""
    address, port, record = sys.argv[1:]
    store = Store(record)
    await http_wire.serve(store.handle, address, int(port))
    await store.expire()


if __name__ == "__main__":
    asyncio.run(main())
