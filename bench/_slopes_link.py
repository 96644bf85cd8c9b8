"""Measures how the traffic of the links grows."""

from bilberrydeal import link

from . import _slopes


@_slopes.SLOPES.register("heartbeats of an entry")
def heartbeats() -> _slopes.Slope:
    """Measure the size of a heartbeat, its echo and a status on each link."""
    status = link.EndpointStatus(
        order_version=7,
        role="both",
        service="model-17",
        accepting=True,
        running=12,
        waiting=3,
        queued_prompt_tokens=4567,
        queued_output_tokens=2345,
        kv_used_share=0.51,
    )
    messages: list[link.Message] = [
        link.Heartbeat(100, 1500),
        link.Echo(100),
        status,
    ]
    frames = [link.encode_frame([message]) for message in messages]
    return _slopes.measure_sizes(
        "a heartbeat, an echo and a status on all links, bytes",
        "endpoints in the subset",
        (5, 20, 40, 80),
        lambda size: float(size * sum(map(len, frames))),
    )
