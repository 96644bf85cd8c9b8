"""Measures how mixing prefill and decode slows the stand-in engine down.

``python -m bench.fleet_engine`` saturates one engine in each role and
prints the mixing loss, which is an input of the role planner's rates.
"""

import collections.abc

import attrs

from bilberrydeal import ports
from standins import engine

#: Duration of one run, in simulated time.
DURATION_S = 20.0
#: Number of requests kept waiting at all times.
WAITING_REQUESTS = 8
#: Sizes of the requests, in prompt words and output tokens.
REQUEST_SIZES = ((50, 400), (100, 200), (400, 200), (400, 100), (800, 50))


@attrs.frozen
class Rates:
    """Tokens per second of one saturated engine."""

    prompt: float
    output: float


def saturate(role: ports.EngineRole, words: int, tokens: int) -> Rates:
    """Return the token rates of an engine under requests of one size."""
    batch = engine.Batch(engine.Rates(cache_blocks=16))
    submitted: list[engine.Running] = []
    now_s = 0.0
    output = 0
    while now_s < DURATION_S:
        while len(batch.waiting) < WAITING_REQUESTS:
            request = ports.EngineRequest(
                request_id=str(len(submitted)),
                model="m",
                prompt=f"{len(submitted)} " + "word " * words,
                max_tokens=tokens,
            )
            submitted.append(batch.submit(request, now_s))
        duration_s, changed = batch.step(role, now_s)
        now_s += duration_s
        output += len(changed)
    return Rates(_computed_prompt_tokens(submitted) / now_s, output / now_s)


def _computed_prompt_tokens(
    submitted: collections.abc.Iterable[engine.Running],
) -> float:
    return sum(
        item.prompt_tokens - item.cached_tokens - item.prefill_left
        for item in submitted
        if item.admitted
    )


def mixing_loss(both: Rates, prefill: Rates, decode: Rates) -> float:
    """Return the share of the capacity lost at an even mix of phases."""
    prompt = both.prompt / prefill.prompt
    output = both.output / decode.output
    total = prompt + output
    return (1.0 - total) / (4.0 * prompt * output / (total * total))


def main() -> None:
    """Print the loss for each request size."""
    prefill = saturate(ports.EngineRole.PREFILL, 400, 1)
    decode = saturate(ports.EngineRole.DECODE, 1, 400)
    print(f"prefill alone {prefill.prompt:.0f} tokens/s")
    print(f"decode alone {decode.output:.0f} tokens/s")
    for words, tokens in REQUEST_SIZES:
        both = saturate(ports.EngineRole.BOTH, words, tokens)
        loss = mixing_loss(both, prefill, decode)
        print(f"{words} words, {tokens} tokens: loss {loss:.3f}")


if __name__ == "__main__":
    main()
