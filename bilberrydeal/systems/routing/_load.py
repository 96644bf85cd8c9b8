"""How busy an endpoint is, as far as this process can know.

What this process has in flight it knows exactly. What others have there it
knows from reports, which are late, so that all processes would rush to the
endpoint that was idle a moment ago; it is smoothed for that reason.
"""

from .. import _entities

#: Part of the others' requests that a new report makes up.
OTHERS_GAIN = 0.1
#: Time that a request in flight delays others, in seconds.
IN_FLIGHT_S = 0.2
#: Times of sending are looked through for old ones at this many.
SENT_LIMIT = 256
#: Times of sending are kept without a report so long, in seconds.
SENT_MEMORY_S = 10.0


def prefill_s(view: _entities.EndpointView, prompt_tokens: float) -> float:
    """Return the time that a prompt takes at an endpoint, in seconds."""
    return prompt_tokens / view.prefill_tokens_per_s * view.slowness


def load_s(view: _entities.EndpointView) -> float:
    """Return what is in flight at an endpoint, in seconds."""
    in_flight = view.in_flight + view.others_in_flight
    return view.prefill_s + in_flight * IN_FLIGHT_S * view.slowness


def computes(
    view: _entities.EndpointView, request: _entities.PendingRequest
) -> None:
    """Note that an endpoint is to compute a request's prompt."""
    to_compute = request.prompt_tokens - request.cached_tokens
    request.prefill_s = prefill_s(view, to_compute)
    request.expected_first_s = load_s(view) + request.prefill_s
    view.prefill_s += request.prefill_s


def computed(
    view: _entities.EndpointView, request: _entities.PendingRequest
) -> None:
    """Note that an endpoint has computed a request's prompt."""
    view.prefill_s = max(0.0, view.prefill_s - request.prefill_s)
    request.prefill_s = 0.0


def sent(view: _entities.EndpointView, now_s: float) -> None:
    """Note a request that was sent to an endpoint."""
    view.in_flight += 1
    view.sent_at_s.append(now_s)
    if len(view.sent_at_s) > SENT_LIMIT:
        oldest_s = now_s - SENT_MEMORY_S
        view.sent_at_s = [at_s for at_s in view.sent_at_s if at_s > oldest_s]


def finished(view: _entities.EndpointView) -> None:
    """Note that a request has ended at an endpoint."""
    view.in_flight = max(0, view.in_flight - 1)
    if not view.in_flight:
        view.prefill_s = 0.0


def reported(
    view: _entities.EndpointView, figures: _entities.LoadFigures
) -> None:
    """Take a load report."""
    view.reported_at_s = figures.true_at_s
    view.running = figures.running
    view.waiting = figures.waiting
    view.kv_used_share = figures.kv_used_share
    view.sent_at_s = [s for s in view.sent_at_s if s > figures.true_at_s]
    own = view.in_flight - len(view.sent_at_s)
    others = max(0, figures.running + figures.waiting - own)
    view.others_in_flight += OTHERS_GAIN * (others - view.others_in_flight)
