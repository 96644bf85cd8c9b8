"""Requests with a prompt part that crashes engines that generate on it."""

import asyncio
import time
import typing

import attrs
import pytest

from ...systems import quarantine
from . import configurations
from . import harness
from . import scripted

#: Crashes by which a part has to be known.
KNOWN_AFTER_CRASHES = 5
#: Time within which it has to be known from then on, in seconds.
KNOWN_WITHIN_S = 3.0
#: Shared part, crashing part, and the request's own.
CRASHING = "aa:50,bad0:20,%x:50"
SOUND = "aa:50,cc:20,%x:50"


@attrs.define(eq=False)
class CrashingFleet:
    """Engines that crash on one part and return as new processes."""

    running: harness.RequestPath | None = None
    engines: list[scripted.Endpoint] = attrs.field(factory=list)
    crashes: int = 0
    sends: int = 0

    def engine(self, number: int) -> scripted.Endpoint:
        """Return an engine in a failure domain of its own."""

        async def script(call: scripted.Call) -> bytes | None:
            if b"bad0" not in (call.field("prefix-hash") or b""):
                return scripted.complete_stream(call, 1, 3)
            self.sends += 1
            await call.send(scripted.stream_head(call))
            await asyncio.sleep(0.02)
            self.restart(number)
            return None

        made = scripted.engine(f"e{number}", "both", script)
        self.engines.append(made)
        return made

    def restart(self, number: int) -> None:
        """Let an engine come back as another process."""
        assert self.running is not None
        self.crashes += 1
        cluster = self.running.cluster
        before = self.engines[number]
        cluster.remove_endpoint(before.endpoint_id, "crashed")
        before.endpoint_id = f"e{number}.{self.crashes}"
        self.register(number)

    def register(self, number: int) -> None:
        """Register an engine in its failure domain."""
        assert self.running is not None
        found = configurations.registration(self.engines[number])
        self.running.cluster.set_endpoint(
            attrs.evolve(found, failure_domain=f"d{number}")
        )

    async def send(
        self, parts: str, number: int, path: str = "/chat-one/1"
    ) -> harness.Reply:
        """Send a request with some parts."""
        assert self.running is not None
        fields: dict[str, typing.Any] = {
            "token_usage": "120,10",
            "prefix_hash": parts % number,
        }
        return await self.running.stream(path, **fields)


async def test_part_that_crashes_engines_is_kept_from_them() -> None:
    fleet = CrashingFleet()
    engines = [fleet.engine(number) for number in range(6)]
    async with harness.running(*engines) as running:
        fleet.running = running
        for number in range(len(engines)):
            fleet.register(number)
        for number in range(KNOWN_AFTER_CRASHES):
            await fleet.send(CRASHING, number)
            assert (await fleet.send(SOUND, 100 + number)).complete
            await asyncio.sleep(0.15)
        await asyncio.sleep(KNOWN_WITHIN_S)
        sends = fleet.sends
        for number in range(10, 15):
            refused = await fleet.send(CRASHING, number)
            assert refused.status == 503
            assert float(refused.field("retry-after") or 0.0) > 0.0
            sound = await fleet.send(SOUND, 100 + number)
            assert sound.status == 200
            assert sound.complete
    assert fleet.sends == sends


async def test_suspected_request_crashes_no_second_engine() -> None:
    fleet = CrashingFleet()
    engines = [fleet.engine(number) for number in range(6)]
    async with harness.running(*engines) as running:
        fleet.running = running
        for number in range(len(engines)):
            fleet.register(number)
        for number in range(3):
            await fleet.send(CRASHING, number, "/chat/1")
            await asyncio.sleep(0.15)
    # Two by the first request, one by each of the others.
    assert fleet.sends == 4


def _quarantined(age_s: float) -> quarantine.Quarantine:
    """Return a quarantine that was decided some time ago."""
    decided_s = time.monotonic() - age_s
    parts = frozenset([b"bad0"])
    return quarantine.Quarantine(parts, decided_s, decided_s, 4, ("e1@1",))


async def test_part_that_is_known_after_the_prefill_is_not_generated() -> None:
    async def prefill(call: scripted.Call) -> bytes:
        running.quarantine.restore(_quarantined(0.0))
        return scripted.handle(call)

    async def decode(call: scripted.Call) -> bytes:
        return scripted.complete_stream(call, 1, 3)

    reader = scripted.engine("p1", "prefill", prefill)
    writer = scripted.engine("d1", "decode", decode)
    async with harness.running(reader, writer) as running:
        reply = await running.stream(
            prefix_hash="aa:2000,bad0:3000,1:1000", token_usage="6000,10"
        )
    assert reply.status == 503
    assert len([call for call in reader.calls if call.prefill]) == 1
    assert writer.calls == []


@pytest.mark.parametrize("recovered", [False, True])
async def test_one_request_is_let_through_after_a_quarter_of_an_hour(
    recovered: bool,
) -> None:
    fleet = CrashingFleet()

    async def serve(call: scripted.Call) -> bytes | None:
        fleet.sends += 1
        await asyncio.sleep(0.02)
        return scripted.complete_stream(call, 1, 3) if recovered else None

    engine, other = (
        scripted.engine(name, "both", serve) for name in ("e1", "e2")
    )
    async with harness.running(engine, other, may_probe=True) as running:
        fleet.running = running
        running.quarantine.restore(
            _quarantined(quarantine.PROBE_INTERVAL_S + 1.0)
        )
        replies = await asyncio.gather(
            *(fleet.send(CRASHING, number, "/chat/1") for number in range(5))
        )
        later = await fleet.send(CRASHING, 9, "/chat/1")
    statuses = sorted(reply.status for reply in replies)
    assert statuses == [*([200] if recovered else [502]), *[503] * 4]
    assert later.status == (200 if recovered else 503)
    assert fleet.sends == (2 if recovered else 1)


async def test_only_the_lease_holder_lets_a_request_through() -> None:
    fleet = CrashingFleet()
    engine = fleet.engine(0)
    async with harness.running(engine) as running:
        fleet.running = running
        running.quarantine.restore(
            _quarantined(quarantine.PROBE_INTERVAL_S + 1.0)
        )
        assert (await fleet.send(CRASHING, 1)).status == 503
    assert fleet.sends == 0


async def test_response_that_ends_with_its_connection_proves_nothing() -> None:
    fleet = CrashingFleet()

    async def serve(call: scripted.Call) -> bytes | None:
        if b"bad0" not in (call.field("prefix-hash") or b""):
            return scripted.complete_stream(call, 1, 3)
        fleet.sends += 1
        head = scripted.stream_head(call).replace(
            b"transfer-encoding: chunked\r\n", b""
        )
        await call.send(head + scripted.event(1))
        call.writer.close()
        await asyncio.sleep(0.05)
        return b""

    engine = scripted.engine("e1", "both", serve)
    async with harness.running(engine) as running:
        fleet.running = running
        await fleet.send(CRASHING, 0)
        running.quarantine.restore(_quarantined(0.0))
        assert (await fleet.send(CRASHING, 1)).status == 503
    assert fleet.sends == 1


async def test_plain_request_with_a_crashing_part_is_refused() -> None:
    async def serve(call: scripted.Call) -> bytes:
        return scripted.signed_response(call)

    endpoint = scripted.plain("s1", serve)
    async with harness.running(endpoint) as running:
        running.quarantine.restore(_quarantined(0.0))
        fields: dict[str, typing.Any] = {
            "token_usage": "120,10",
            "prefix_hash": CRASHING % 1,
        }
        assert (await running.send("/read/1", **fields)).status == 503
        fields["prefix_hash"] = SOUND % 1
        assert (await running.send("/read/1", **fields)).status == 200
    assert len(endpoint.calls) == 1


@pytest.mark.parametrize("lapsed", [False, True])
async def test_restart_is_reported_also_after_the_registration_lapsed(
    lapsed: bool,
) -> None:
    async def serve(call: scripted.Call) -> bytes:
        return scripted.signed_response(call)

    endpoint = scripted.plain("s1", serve)
    restarted: list[int] = []
    async with harness.running(endpoint) as running:
        cluster = running.cluster
        cluster.subscribe_restarts(
            lambda upstream: restarted.append(upstream.endpoint.started_ms)
        )
        before = configurations.registration(endpoint)
        if lapsed:
            cluster.remove_endpoint("s1", "lapsed")
            cluster.set_endpoint(before)
            cluster.remove_endpoint("s1", "lapsed")
        assert restarted == []
        cluster.set_endpoint(
            attrs.evolve(before, started_ms=before.started_ms + 1)
        )
    assert restarted == [before.started_ms]
