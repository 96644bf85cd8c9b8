"""What gateways decide by a configuration that may be outdated."""

import asyncio
import time

import attrs
import pytest

from ... import errors
from ... import ports
from ..cluster_state import _freshness
from ..cluster_state import _poll_times
from ..cluster_state import _store_hints
from ..cluster_state import _store_sync
from ..messaging import _datagrams
from . import harness

LIMIT_S = 3.0


def _freshness_of(*events: str) -> _freshness.TableFreshness:
    """Return the freshness after events; confirmations are at 100 s."""
    freshness = _freshness.TableFreshness(LIMIT_S)
    for event in events:
        if event == "confirmed":
            freshness.note_confirmed(100.0)
        else:
            getattr(freshness, f"note_{event}")()
    return freshness


@pytest.mark.parametrize(
    ("events", "age_s", "may_deny", "may_use"),
    [
        ((), 0.0, True, True),
        (("confirmed",), 2.9, True, True),
        (("confirmed",), 3.1, False, False),
        (("confirmed", "failure"), 2.9, True, True),
        (("confirmed", "failure"), 3.1, False, True),
        (("confirmed", "superseded"), 0.1, False, True),
        (("confirmed", "superseded"), 3.1, False, False),
        (("confirmed", "rows"), 0.1, False, True),
        (("confirmed", "rows"), 2.9, False, True),
        (("confirmed", "rows"), 3.1, False, False),
        (("confirmed", "rows", "failure"), 3.1, False, True),
        (("confirmed", "failure", "rows"), 3.1, False, False),
        (("confirmed", "rows", "confirmed"), 0.1, True, True),
    ],
)
def test_outdated_state_denies_nothing_and_is_used_for_a_time(
    events: tuple[str, ...], age_s: float, may_deny: bool, may_use: bool
) -> None:
    freshness = _freshness_of(*events)
    assert freshness.may_deny(100.0 + age_s) is may_deny
    assert freshness.may_use(100.0 + age_s) is may_use


@attrs.define
class Feed:
    """A change feed whose first poll ends while its rows are arriving."""

    freshness: _freshness.TableFreshness
    ended: asyncio.Event = attrs.field(factory=asyncio.Event)
    #: Whether newer rows were said to exist, and the store to respond, at each
    #: call and after the rows of the first have begun to arrive.
    seen: list[tuple[bool, bool]] = attrs.field(factory=list)

    def _look(self) -> None:
        self.seen.append(
            (self.freshness.superseded, self.freshness.responding)
        )

    async def snapshot(self, table: str, timeout_s: float) -> ports.Changes:
        return ports.Changes(ports.StoreVersion(1), ())

    async def changes(
        self,
        table: str,
        after: ports.StoreVersion,
        wait_s: float,
        timeout_s: float,
        on_rows: ports.OnRows | None = None,
    ) -> ports.Changes:
        self._look()
        if len(self.seen) == 1:
            assert on_rows is not None
            on_rows()
            self._look()
            raise errors.StoreUnavailable("read")
        if len(self.seen) == 4:
            self.ended.set()
            await asyncio.sleep(9.0)
        return ports.Changes(ports.StoreVersion(2), ())


async def test_follower_tells_that_rows_are_arriving() -> None:
    freshness = _freshness.TableFreshness(LIMIT_S)
    feed = Feed(freshness)
    follower = _store_sync.TableFollower(
        feed,
        "t",
        _store_sync.StoreConnectivity(last_response_s=0.0),
        _store_hints.StoreHints(
            _datagrams.Datagrams(), "g1", tuple, lambda: 0, 0, 2.0, lambda: 0.0
        ),
        _poll_times.PollTimes(wait_s=1.0, margin_s=0.5),
        lambda: 0.0,
        freshness,
    )
    task = asyncio.create_task(follower.run(lambda _c, _w: False))
    async with asyncio.timeout(5.0):
        await feed.ended.wait()
    task.cancel()
    assert feed.seen == [
        (False, True),
        (True, True),
        (True, False),
        (False, True),
    ]


@pytest.mark.parametrize(
    ("path", "key", "denied"),
    [("/none/1", harness.KEY, 404), ("/once/1", b"none", 401)],
)
async def test_outdated_configuration_does_not_deny_a_request(
    path: str, key: bytes, denied: int
) -> None:
    async with harness.running() as running:
        freshness = running.cluster.configuration_freshness
        freshness.note_confirmed(time.monotonic())
        reply = await running.send(path, key=key.decode())
        assert reply.status == denied
        freshness.note_superseded()
        reply = await running.send(path, key=key.decode())
        assert reply.status == 503
        assert float(reply.field("retry-after") or 0) > 0
        freshness.note_confirmed(time.monotonic())
        reply = await running.send(path, key=key.decode())
        assert reply.status == denied


async def test_request_does_not_run_by_a_configuration_past_its_limit() -> (
    None
):
    async def ok(call: harness.Call) -> bytes:
        return harness.signed_response(call, body=b"ours")

    endpoint = harness.plain("e1", ok)
    async with harness.running(endpoint) as running:
        freshness = running.cluster.configuration_freshness
        freshness.apply_limit_s = LIMIT_S
        freshness.note_confirmed(time.monotonic() - LIMIT_S + 1.0)
        freshness.note_rows()
        assert (await running.send()).status == 200
        freshness.confirmed_s = time.monotonic() - LIMIT_S - 0.1
        assert (await running.send()).status == 503
        assert len(endpoint.calls) == 1
