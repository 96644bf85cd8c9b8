"""Prefills a prompt on one engine for decoding on another."""

import asyncio
import contextlib

import attrs

from ... import link
from ... import systems
from ... import telemetry
from . import _pool
from . import _request

LOG = telemetry.logger("handover")
#: Fraction of the remaining time after which a prefill is abandoned.
PREFILL_TIME_SHARE = 0.5

Event = link.Chunk | link.Finished


@attrs.frozen
class PrefillResult:
    """The result of a prefill."""

    #: Handle of the prompt's KV cache, empty if there is none.
    kv_handle: str = ""
    #: Prompt tokens that the prefill engine had cached.
    cached_tokens: int = 0

    def with_prefill_counts(self, event: Event) -> Event:
        """Return an event of the decode engine with the prefill's counts.

        The decode engine finds the whole prompt in the cache that it fetched.
        Tokens that the prefill engine computed are counted as computed,
        otherwise planners would see no demand for prefill.
        """
        if not self.kv_handle or not isinstance(event, link.Finished):
            return event
        total_tokens = event.prompt_tokens + event.cached_tokens
        cached_tokens = min(self.cached_tokens, event.cached_tokens)
        return attrs.evolve(
            event,
            prompt_tokens=total_tokens - cached_tokens,
            cached_tokens=cached_tokens,
        )


async def prefill(
    pool: _pool.LinkPool,
    request: _request.AdmittedRequest,
    pending: systems.PendingRequest,
    number: link.RequestNumber,
    now_s: float,
) -> PrefillResult:
    """Run the prefill; a failed one returns a result without a handle.

    A failure costs only time: the decode engine then computes the prompt
    itself.
    """
    agent_link = pool.get(pending.prefill_endpoint_id)
    if agent_link is None:
        return PrefillResult()
    submit = attrs.evolve(
        request.submit_message(now_s),
        number=number,
        weight=request.weight * pending.weight_factor,
        cached_tokens=pending.cached_tokens,
        prefill_only=True,
    )
    try:
        call = agent_link.submit(submit)
    except (link.LinkDown, link.LinkFull):
        return PrefillResult()
    timer = asyncio.get_running_loop().call_later(
        max(0.0, submit.time_left_s * PREFILL_TIME_SHARE), call.expire
    )
    try:
        return await _await_result(call)
    except (link.CallLost, link.CallExpired):
        LOG.info("Prefill failed.", request=str(request.number))
        return PrefillResult()
    finally:
        timer.cancel()


async def _await_result(call: link.Call) -> PrefillResult:
    async with contextlib.aclosing(call.events()) as events:
        async for event in events:
            if isinstance(event, link.Finished):
                return PrefillResult(event.kv_handle, event.cached_tokens)
            if isinstance(event, link.Refused):
                return PrefillResult()
    return PrefillResult()
