"""Invariants, checked on the outcomes of requests and stand-ins' journals.

Each check yields a sentence for every violation. No check relies on what the
system under test reports about itself.
"""

import collections
import collections.abc
import json

import attrs
import msgspec

from bilberrydeal import ports
from standins import engine
from standins import plain

from . import _authority
from . import _caller
from . import _evidence

#: Requests to this path may run more than once.
IDEMPOTENT_PATH = "/stock"


def runs_at_most_once(evidence: _evidence.Evidence) -> _evidence.Violations:
    """A request that is not idempotent runs at most once."""
    counts = collections.Counter(
        call.body
        for call in evidence.calls()
        if not call.path.startswith(IDEMPOTENT_PATH)
    )
    for body, count in counts.items():
        if count > 1:
            yield f"{body} ran {count} times"


def refusals_are_true(evidence: _evidence.Evidence) -> _evidence.Violations:
    """A request that was refused as "not run" has not run."""
    times = execution_times(evidence)
    asks = _by_marker(evidence.outcomes)
    for marker, outcomes in asks.items():
        refused = [item for item in outcomes if item.executed == "no"]
        for outcome in refused:
            if any(ran < outcome.ended_s for ran in times[marker]):
                yield f"{marker} had run when {outcome.code} said not run"
        if len(refused) == len(outcomes) and times[marker]:
            yield f"{marker} ran though every answer said not run"


def answers_are_whole(evidence: _evidence.Evidence) -> _evidence.Violations:
    """A caller gets the complete answer to its own request."""
    prompts = {
        _marker(item.prompt): item.prompt for item in evidence.generations()
    }
    for outcome in evidence.outcomes:
        if outcome.status != 200 or outcome.code:
            continue
        ask = outcome.ask
        if ask.max_tokens:
            prompt = prompts.get(ask.marker)
            if prompt is None:
                yield f"{ask.marker} was answered but never ran"
                continue
            wanted = engine.answer(prompt, ask.max_tokens)
            given = outcome.text
            if given != wanted and (
                outcome.finish_reason or not wanted.startswith(given)
            ):
                yield f"{ask.marker} got a wrong text"
        elif not _is_receipt(ask, outcome.body):
            yield f"{ask.marker} got {outcome.body}"


def _is_receipt(ask: _caller.Ask, body: str) -> bool:
    """Return whether a body is the receipt of this request.

    Only a stock check may have run before, as it is idempotent.
    """
    given = json.loads(body)
    execution = 1
    if ask.path.startswith(IDEMPOTENT_PATH):
        execution = max(1, int(given["execution"]))
    wanted = plain.receipt(ask.path, ask.body, execution)
    return bool(given == attrs.asdict(wanted))


def answers_stay_in_their_organisation(
    evidence: _evidence.Evidence,
) -> _evidence.Violations:
    """A request runs only for the organisation whose key it carried."""
    owners = {
        outcome.ask.marker: outcome.ask.organisation
        for outcome in evidence.outcomes
    }
    for call in evidence.calls():
        owner = owners.get(_marker(call.body), "")
        if call.organisation != owner:
            yield f"{call.body} ran for {call.organisation}, not {owner}"


def endpoints_see_no_key(evidence: _evidence.Evidence) -> _evidence.Violations:
    """No endpoint receives a key or another secret."""
    for name, path in {**evidence.engines, **evidence.plain_services}.items():
        text = path.read_text() if path.exists() else ""
        for secret in evidence.secrets:
            if secret in text:
                yield f"{name} received the secret {secret[:4]}..."


def bills_are_never_too_high(
    evidence: _evidence.Evidence,
) -> _evidence.Violations:
    """No organisation is billed for more than was executed for it."""
    billed = billed_calls(evidence)
    ran = _executed_calls(evidence)
    for organisation, calls in billed.items():
        if calls > ran[organisation]:
            yield f"{organisation}: {calls} billed, {ran[organisation]} ran"
    generated = _generated_tokens(evidence)
    for organisation, tokens in billed_tokens(evidence).items():
        most = generated[organisation]
        if tokens > most:
            yield f"{organisation}: {tokens} tokens billed of {most}"


def bills_are_complete(evidence: _evidence.Evidence) -> _evidence.Violations:
    """Every answered call is billed with all of its tokens."""
    billed = billed_calls(evidence)
    tokens = billed_tokens(evidence)
    for organisation, outcomes in _by_organisation(evidence.outcomes).items():
        answered = [item for item in outcomes if item.answered]
        # Streamed answers carry no usage block: count words as tokens.
        wanted = sum(len(item.text.split()) for item in answered)
        if billed[organisation] < len({item.ask for item in answered}):
            yield f"{organisation}: {billed[organisation]} calls billed"
        if tokens[organisation] < wanted:
            yield f"{organisation}: {tokens[organisation]} of {wanted} tokens"


#: Invariants that hold in every scenario, whatever fails.
INVARIANTS = (
    runs_at_most_once,
    refusals_are_true,
    answers_are_whole,
    answers_stay_in_their_organisation,
    endpoints_see_no_key,
    _authority.orders_never_conflict,
    _authority.changes_cut_nothing,
    _authority.purchases_have_one_holder,
    _authority.purchases_stay_in_bounds,
    _authority.windows_are_reported_once,
    bills_are_never_too_high,
)


def broken(evidence: _evidence.Evidence) -> list[str]:
    """Return a sentence for every violation of an invariant."""
    return [
        f"{check.__name__}: {found}"
        for check in INVARIANTS
        for found in check(evidence)
    ]


def billed_calls(evidence: _evidence.Evidence) -> collections.Counter[str]:
    """Return the calls billed to each organisation."""
    billed = collections.Counter[str]()
    for report in _accepted_reports(evidence):
        billed[report.organisation] += report.figures.calls
    return billed


def billed_tokens(evidence: _evidence.Evidence) -> collections.Counter[str]:
    """Return the generated tokens billed to each organisation."""
    billed = collections.Counter[str]()
    for report in _accepted_reports(evidence):
        billed[report.organisation] += report.figures.output_tokens
    return billed


def _accepted_reports(evidence: _evidence.Evidence) -> list[ports.UsageReport]:
    return [
        item.report for item in evidence.reports() if item.outcome == "taken"
    ]


def _owners(evidence: _evidence.Evidence) -> dict[str, str]:
    """Return the organisation of each marker."""
    return {
        outcome.ask.marker: outcome.ask.organisation
        for outcome in evidence.outcomes
    }


def _generated_tokens(
    evidence: _evidence.Evidence,
) -> collections.Counter[str]:
    """Return the maximum tokens that all runs can have generated."""
    owners = _owners(evidence)
    most = collections.Counter[str]()
    for item in evidence.generations():
        words = engine.answer(item.prompt, item.max_tokens).split()
        most[owners.get(_marker(item.prompt), "")] += len(words)
    return most


def _executed_calls(evidence: _evidence.Evidence) -> collections.Counter[str]:
    owners = _owners(evidence)
    ran = collections.Counter(call.organisation for call in evidence.calls())
    for item in evidence.generations():
        ran[owners.get(_marker(item.prompt), "")] += 1
    return ran


def _marker(text: str) -> str:
    """Return the marker in a prompt or a body."""
    try:
        return str(msgspec.json.decode(text)["marker"])
    except (msgspec.DecodeError, TypeError, KeyError):
        found = [word for word in text.split() if word.startswith("mark-")]
        return found[0] if found else ""


def execution_times(evidence: _evidence.Evidence) -> dict[str, list[float]]:
    times = collections.defaultdict(list)
    for item in evidence.generations():
        times[_marker(item.prompt)].append(item.executed_s)
    for call in evidence.calls():
        times[_marker(call.body)].append(call.executed_s)
    return times


def _by_marker(
    outcomes: tuple[_caller.Outcome, ...],
) -> dict[str, list[_caller.Outcome]]:
    groups = collections.defaultdict(list)
    for outcome in outcomes:
        groups[outcome.ask.marker].append(outcome)
    return groups


def _by_organisation(
    outcomes: tuple[_caller.Outcome, ...],
) -> dict[str, list[_caller.Outcome]]:
    groups = collections.defaultdict(list)
    for outcome in outcomes:
        groups[outcome.ask.organisation].append(outcome)
    return groups
