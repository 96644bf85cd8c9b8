"""Prefill at one engine, so that another decodes from its KV cache."""

import asyncio
import contextlib

import attrs

from .. import link
from .. import systems
from .. import telemetry
from . import _pool
from . import _work

LOG = telemetry.logger("handover")
#: Part of the time left that a prefill may take before it is given up.
TIME_SHARE = 0.5


async def prefill(
    pool: _pool.LinkPool,
    work: _work.Work,
    pending: systems.PendingRequest,
    number: link.RequestNumber,
    now_s: float,
) -> str:
    """Return the handle of the prompt's KV cache, empty where it failed.

    Nothing is lost by a failure but time: the decoding engine computes the
    prompt itself.
    """
    agent_link = pool.get(pending.prefill_endpoint_id)
    if agent_link is None:
        return ""
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
        return ""
    timer = asyncio.get_running_loop().call_later(
        max(0.0, submit.time_left_s * TIME_SHARE), call.expire
    )
    try:
        return await _handle(call)
    except (link.CallLost, link.CallExpired):
        LOG.info("Prefill failed.", request=str(work.number))
        return ""
    finally:
        timer.cancel()


async def _handle(call: link.Call) -> str:
    async with contextlib.aclosing(call.events()) as events:
        async for event in events:
            if isinstance(event, link.Finished):
                return event.kv_handle
            if isinstance(event, link.Refused):
                return ""
    return ""
