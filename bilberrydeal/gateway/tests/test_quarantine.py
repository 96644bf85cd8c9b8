"""Requests with a prompt part that crashes engines that generate on it."""

import asyncio
import typing

import attrs

from . import harness

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
    engines: list[harness.Endpoint] = attrs.field(factory=list)
    crashes: int = 0
    sends: int = 0

    def engine(self, number: int) -> harness.Endpoint:
        """Return an engine in a failure domain of its own."""

        async def script(call: harness.Call) -> bytes | None:
            if b"bad0" not in (call.field("prefix-hash") or b""):
                return harness.complete_stream(call, 1, 3)
            self.sends += 1
            call.writer.write(harness.stream_head(call))
            await call.writer.drain()
            await asyncio.sleep(0.02)
            self.restart(number)
            return None

        made = harness.engine(f"e{number}", "both", script)
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
        found = harness.registration(self.engines[number])
        self.running.cluster.set_endpoint(
            attrs.evolve(found, failure_domain=f"d{number}")
        )

    async def send(self, parts: str, number: int) -> harness.Reply:
        """Send a request with some parts."""
        assert self.running is not None
        fields: dict[str, typing.Any] = {
            "token_usage": "120,10",
            "prefix_hash": parts % number,
        }
        return await self.running.stream("/chat-one/1", **fields)


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
