"""How long an endpoint is busy with what it has."""

from .. import _entities

#: Work sent longer ago than this is dropped without a report, in seconds.
SENT_MEMORY_S = 30.0
#: Work sent is looked through for old entries at this many.
SENT_LIMIT = 512


def work_s(
    view: _entities.EndpointView, prompt_tokens: float, output_tokens: float
) -> float:
    """Return the time that work takes at an endpoint, in seconds."""
    return (
        prompt_tokens / view.prefill_tokens_per_s
        + output_tokens / view.decode_tokens_per_s
    ) * view.slowness


def backlog_s(view: _entities.EndpointView, now_s: float) -> float:
    """Return the work that is left, in seconds."""
    return max(0.0, view.backlog_s - (now_s - view.backlog_at_s))


def sent(
    view: _entities.EndpointView,
    prompt_tokens: float,
    output_tokens: float,
    now_s: float,
) -> None:
    """Add work that was sent to the backlog."""
    added_s = work_s(view, prompt_tokens, output_tokens)
    view.backlog_s = backlog_s(view, now_s) + added_s
    view.backlog_at_s = now_s
    view.sent.append(_entities.SentWork(now_s, prompt_tokens, output_tokens))
    if len(view.sent) > SENT_LIMIT:
        oldest_s = now_s - SENT_MEMORY_S
        view.sent = [w for w in view.sent if w.at_s > oldest_s]


def reported(
    view: _entities.EndpointView, figures: _entities.LoadFigures, now_s: float
) -> None:
    """Set the backlog from a report and the work sent since it was true."""
    view.reported_at_s = figures.true_at_s
    view.running = figures.running
    view.waiting = figures.waiting
    view.kv_used_share = figures.kv_used_share
    view.sent = [work for work in view.sent if work.at_s > figures.true_at_s]
    left_s = work_s(
        view, figures.queued_prompt_tokens, figures.queued_output_tokens
    )
    at_s = figures.true_at_s
    for work in view.sent:
        left_s = max(0.0, left_s - (work.at_s - at_s))
        left_s += work_s(view, work.prompt_tokens, work.output_tokens)
        at_s = work.at_s
    view.backlog_s = max(0.0, left_s - (now_s - at_s))
    view.backlog_at_s = now_s
