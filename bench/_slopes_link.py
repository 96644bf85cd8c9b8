"""How the traffic of the links grows."""

from bilberrydeal import link

from . import _slopes


@_slopes.SLOPES.register("heartbeats of an entry")
def heartbeats() -> _slopes.Slope:
    """Measure the heartbeats both ways over a subset, for one beat each."""
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
    beat = link.encode_frame([link.Heartbeat(123_456, 123_455, status)])
    echo = link.encode_frame([link.Heartbeat(123_456, 123_455)])
    return _slopes.over(
        "one heartbeat each way on all links, bytes",
        "endpoints in the subset",
        (5, 20, 40, 80),
        lambda size: float(size * (len(beat) + len(echo))),
    )
