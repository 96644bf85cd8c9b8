"""Calls to a store that comes back from an older copy."""

import collections.abc
import contextlib
import pathlib
import typing

import aiohttp
from aiohttp import test_utils
import pytest

from bilberrydeal import errors
from bilberrydeal import ports
from bilberrydeal.platform import _eras
from bilberrydeal.platform import _store
from standins import _journal
from standins import users_platform

TIMEOUT_S = 1.0
TABLE = "t"


class Fixture:
    """A client and the fake store that it calls."""

    def __init__(self, server: test_utils.TestServer) -> None:
        self.store = _store.PlatformStore("127.0.0.1", server.port or 0)
        #: The client of another process.
        self.other = _store.PlatformStore("127.0.0.1", server.port or 0)
        self._server = server

    async def restore(self) -> None:
        """Let the store lose all that was written."""
        url = self._server.make_url("/standin/restore")
        async with aiohttp.ClientSession() as session:
            await session.post(url, json={"age_s": 600.0})

    async def write(
        self,
        key: str,
        version: int,
        era: int | None = None,
        store: _store.PlatformStore | None = None,
    ) -> int:
        """Write a row on condition of its version; return the new one."""
        committed = await (store or self.store).commit(
            ports.Transaction(
                (ports.Check(TABLE, key, version),),
                (ports.Write(TABLE, key, b"{}"),),
                era,
            ),
            TIMEOUT_S,
        )
        return committed.versions[0]


@contextlib.asynccontextmanager
async def _fixture(
    folder: pathlib.Path,
) -> collections.abc.AsyncIterator[Fixture]:
    app = users_platform.build(_journal.Journal(folder / "journal"))
    server = test_utils.TestServer(app)
    async with server:
        yield Fixture(server)


@pytest.mark.parametrize("writes", [0, 1, 2, 3])
async def test_position_of_another_era_is_not_read_from(
    writes: int, tmp_path: pathlib.Path
) -> None:
    """Versions given out again once hid the changes below them."""
    async with _fixture(tmp_path) as fixture:
        for number in range(2):
            await fixture.write(f"a{number}", 0)
        before = await fixture.store.snapshot(TABLE, TIMEOUT_S)
        await fixture.restore()
        for number in range(writes):
            await fixture.write(f"b{number}", 0)
        with pytest.raises(errors.HistoryGone):
            await fixture.store.changes(TABLE, before.version, 0.0, TIMEOUT_S)
        after = await fixture.store.snapshot(TABLE, TIMEOUT_S)
        assert [row.key for row in after.rows] == [
            f"b{number}" for number in range(writes)
        ]
        changes = await fixture.store.changes(
            TABLE, after.version, 0.0, TIMEOUT_S
        )
        assert changes.rows == ()


async def test_outcome_is_unknown_if_the_era_changed_since_the_read(
    tmp_path: pathlib.Path,
) -> None:
    """The row that was checked is another one of the same version."""
    async with _fixture(tmp_path) as fixture:
        version = await fixture.write("a", 0)
        era = fixture.store.era
        await fixture.restore()
        other = await fixture.write("a", 0, store=fixture.other)
        assert other == version
        with pytest.raises(errors.OutcomeUnknown):
            await fixture.write("a", version, era)
        assert fixture.store.era != era
        # Now that the era is known the transaction is not even sent.
        with pytest.raises(errors.OutcomeUnknown):
            await fixture.write("a", version + 1, era)
        await fixture.write("a", version + 1, fixture.store.era)


async def test_conflict_in_another_era_is_a_conflict(
    tmp_path: pathlib.Path,
) -> None:
    async with _fixture(tmp_path) as fixture:
        version = await fixture.write("a", 0)
        era = fixture.store.era
        await fixture.restore()
        with pytest.raises(errors.TableConflict):
            await fixture.write("a", version, era)


class Response(typing.NamedTuple):
    """A response: its header, and how many calls back its call began."""

    header: bytes | None
    begun_before: int = 0


@pytest.mark.parametrize(
    ("responses", "eras"),
    [
        # No header, as from an older platform.
        ([Response(None), Response(None)], [None, None]),
        ([Response(b"x"), Response(b"-1"), Response(b"")], [None] * 3),
        ([Response(b"4"), Response(b"4"), Response(b"5")], [4, 4, 5]),
        # A response without the header says nothing of the era.
        ([Response(b"4"), Response(None)], [4, 4]),
        # The call began before the change was noticed.
        ([Response(b"4"), Response(b"5"), Response(b"4", 1)], [4, 5, "late"]),
        ([Response(b"4"), Response(b"5"), Response(b"6", 1)], [4, 5, 6]),
        # The call began afterwards: the store went back.
        ([Response(b"4"), Response(b"5"), Response(b"4")], [4, 5, 4]),
        ([Response(b"5"), Response(b"4"), Response(b"5", 1)], [5, 4, 5]),
    ],
)
def test_era_of_each_response(
    responses: list[Response], eras: list[int | str | None]
) -> None:
    tracker = _eras.EraTracker()
    starts = []
    found: list[int | str | None] = []
    for response in responses:
        starts.append(tracker.start_call())
        start = starts[-1 - response.begun_before]
        try:
            found.append(tracker.note(response.header, 7, start))
        except _eras.LateResponse:
            found.append("late")
    assert found == eras
