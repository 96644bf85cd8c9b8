"""Prefill at one engine, so that another decodes from its KV cache."""

import asyncio
import contextlib

import attrs

from ... import link
from ... import systems
from ... import telemetry
from . import _pool
from . import _work

LOG = telemetry.logger("handover")
#: Part of the time left that a prefill may take before it is given up.
TIME_SHARE = 0.5

Event = link.Chunk | link.Finished


@attrs.frozen
class Prefilled:
    """What came of a prefill."""

    #: Handle of the prompt's KV cache, empty where there is none.
    kv_handle: str = ""
    #: Prompt tokens that were in a cache where the prefill ran.
    cached_tokens: int = 0

    def counted(self, event: Event) -> Event:
        """Return an event of the decoding engine with the prompt's work.

        The decoding engine finds the whole prompt in the cache that it
        fetched. What was computed where it was prefilled counts as such,
        else planners would see no demand for prefilling.
        """
        if not self.kv_handle or not isinstance(event, link.Finished):
            return event
        whole = event.prompt_tokens + event.cached_tokens
        cached_tokens = min(self.cached_tokens, event.cached_tokens)
        return attrs.evolve(
            event,
            prompt_tokens=whole - cached_tokens,
            cached_tokens=cached_tokens,
        )


async def prefill(
    pool: _pool.LinkPool,
    work: _work.Work,
    pending: systems.PendingRequest,
    number: link.RequestNumber,
    now_s: float,
) -> Prefilled:
    """Return what came of the prefill, no handle where it failed.

    Nothing is lost by a failure but time: the decoding engine computes the
    prompt itself.
    """
    agent_link = pool.get(pending.prefill_endpoint_id)
    if agent_link is None:
        return Prefilled()
    submit = attrs.evolve(
        work.submit(now_s),
        number=number,
        weight=work.weight * pending.weight_factor,
        cached_tokens=pending.cached_tokens,
        prefill_only=True,
    )
    try:
        call = agent_link.submit(submit)
    except (link.LinkDown, link.LinkFull):
        return Prefilled()
    timer = asyncio.get_running_loop().call_later(
        max(0.0, submit.time_left_s * TIME_SHARE), call.expire
    )
    try:
        return await _outcome(call)
    except (link.CallLost, link.CallExpired):
        LOG.info("Prefill failed.", request=str(work.number))
        return Prefilled()
    finally:
        timer.cancel()


async def _outcome(call: link.Call) -> Prefilled:
    async with contextlib.aclosing(call.events()) as events:
        async for event in events:
            if isinstance(event, link.Finished):
                return Prefilled(event.kv_handle, event.cached_tokens)
            if isinstance(event, link.Refused):
                return Prefilled()
    return Prefilled()
