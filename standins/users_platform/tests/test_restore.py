"""Tests a restore of the fake store to an older copy."""

import base64
import pathlib
import typing

import aiohttp
import aiohttp.test_utils
import pytest

from standins import _journal
from standins import users_platform

NAME = ("t", "k")


def test_versions_go_back_and_are_given_out_again() -> None:
    rows = users_platform.Rows()
    for at_s, value in ((1.0, "a"), (2.0, "b"), (3.0, "c")):
        rows.apply({}, {NAME: value}, at_s)
    lost = rows.restore(1.5)
    assert [(row.value, row.version) for row in lost] == [("b", 2), ("c", 3)]
    found = rows.get(*NAME)
    assert found is not None
    assert (found.value, found.version, rows.version) == ("a", 1, 1)
    rows.apply({NAME: 1}, {NAME: "d"}, 4.0)
    found = rows.get(*NAME)
    assert found is not None
    assert (found.value, found.version) == ("d", 2)


def test_removed_row_is_back() -> None:
    rows = users_platform.Rows()
    rows.apply({}, {NAME: "a"}, 1.0)
    rows.apply({}, {NAME: None}, 2.0)
    rows.restore(1.5)
    assert rows.get(*NAME) is not None


def test_second_restore_may_go_back_beyond_the_first() -> None:
    rows = users_platform.Rows()
    rows.apply({}, {NAME: "a"}, 1.0)
    rows.apply({}, {NAME: "b"}, 2.0)
    rows.restore(1.5)
    rows.apply({}, {NAME: "c"}, 3.0)
    rows.restore(0.5)
    assert (rows.get(*NAME), rows.version) == (None, 0)


def test_feed_has_no_position_after_the_newest_version() -> None:
    rows = users_platform.Rows()
    rows.apply({}, {NAME: "a"}, 1.0)
    rows.apply({}, {NAME: "b"}, 2.0)
    rows.restore(1.5)
    with pytest.raises(users_platform.HistoryGone):
        rows.changes("t", 2)
    assert rows.changes("t", 1) == []
    assert [row.value for row in rows.changes("t", 0)] == ["a"]


@pytest.mark.parametrize("copied_s", [0.5, 1.5])
def test_dropped_history_stays_dropped(copied_s: float) -> None:
    rows = users_platform.Rows()
    rows.apply({}, {NAME: "a"}, 1.0)
    rows.apply({}, {NAME: "b"}, 1.2)
    rows.drop_history()
    rows.apply({}, {NAME: "c"}, 2.0)
    rows.restore(copied_s)
    if rows.version:
        with pytest.raises(users_platform.HistoryGone):
            rows.changes("t", 0)
    assert rows.changes("t", rows.version) == []


class Client:
    """A client of the fake store."""

    def __init__(
        self, http: aiohttp.test_utils.TestClient[typing.Any, typing.Any]
    ) -> None:
        self._http = http

    async def transact(self, version: int, value: str) -> tuple[int, str]:
        """Write a row; return the status and the era."""
        call = {
            "expected": [
                {"table": "t", "key": "k", "row_version": version},
            ],
            "puts": [{"table": "t", "key": "k", "value": value}],
            "remove": [],
        }
        answer = await self._http.post("/bilberrydeal/rows-tx", json=call)
        return answer.status, answer.headers["Store-Era"]

    async def feed(self, after: int) -> tuple[int, str]:
        """Read the feed; return the status and the era."""
        query = f"table=t&after={after}&wait_ms=0"
        answer = await self._http.get(f"/bilberrydeal/rows-feed?{query}")
        return answer.status, answer.headers["Store-Era"]


async def test_era_is_in_all_answers_and_rises_by_one(
    tmp_path: pathlib.Path,
) -> None:
    app = users_platform.build(_journal.Journal(tmp_path / "j"))
    server = aiohttp.test_utils.TestServer(app)
    async with aiohttp.test_utils.TestClient(server) as http:
        client = Client(http)
        value = base64.b64encode(b"v").decode()
        assert await client.transact(0, value) == (200, "1")
        assert await client.transact(0, value) == (412, "1")
        for era in ("2", "3"):
            await http.post("/standin/restore", json={"age_s": 60.0})
            assert await client.feed(1) == (410, era)
            assert await client.feed(0) == (200, era)
            assert await client.transact(0, value) == (200, era)
        await http.post("/standin/fault", json={"mode": "busy"})
        assert await client.feed(0) == (503, "3")


async def test_operators_rows_are_written_again(
    tmp_path: pathlib.Path,
) -> None:
    app = users_platform.build(_journal.Journal(tmp_path / "j"))
    server = aiohttp.test_utils.TestServer(app)
    async with aiohttp.test_utils.TestClient(server) as http:
        row = {"table": "op", "key": "config", "value": "dg=="}
        await http.post("/standin/put", json=row)
        await http.post("/standin/restore", json={"age_s": 60.0})
        query = "table=op&after=0&wait_ms=3000"
        answer = await http.get(f"/bilberrydeal/rows-feed?{query}")
        (found,) = (await answer.json())["rows"]
        assert found["value"] == "dg=="
