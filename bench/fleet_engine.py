"""What mixing prefill and decode costs the stand-in engine.

``python -m bench.fleet_engine`` saturates one engine in each role and
prints the mixing loss that the role planner's rates take.
"""

import collections.abc

import attrs

from bilberrydeal import ports
from standins import engine

#: Length of one run in the engine's own time.
DURATION_S = 20.0
#: Requests that wait at all times.
WAITING = 8
#: Words of prompt and tokens of output of the requests tried.
MIXES = ((50, 400), (100, 200), (400, 200), (400, 100), (800, 50))


@attrs.frozen
class Rates:
    """Tokens a second of one saturated engine."""

    prompt: float
    output: float


def saturate(role: ports.EngineRole, words: int, tokens: int) -> Rates:
    """Return what an engine does with requests of one size."""
    batch = engine.Batch(engine.Rates(cache_blocks=16))
    taken: list[engine.Running] = []
    now_s = 0.0
    output = 0
    while now_s < DURATION_S:
        while len(batch.waiting) < WAITING:
            request = ports.EngineRequest(
                request_id=str(len(taken)),
                model="m",
                prompt=f"{len(taken)} " + "word " * words,
                max_tokens=tokens,
            )
            taken.append(batch.submit(request, now_s))
        duration_s, changed = batch.step(role, now_s)
        now_s += duration_s
        output += len(changed)
    return Rates(_computed(taken) / now_s, output / now_s)


def _computed(taken: collections.abc.Iterable[engine.Running]) -> float:
    return sum(
        item.prompt_tokens - item.cached_tokens - item.prefill_left
        for item in taken
        if item.admitted
    )


def mixing_loss(both: Rates, prefill: Rates, decode: Rates) -> float:
    """Return the part of the capacity lost at an even mix of phases."""
    prompt = both.prompt / prefill.prompt
    output = both.output / decode.output
    total = prompt + output
    return (1.0 - total) / (4.0 * prompt * output / (total * total))


def main() -> None:
    """Print the loss at each size of request."""
    prefill = saturate(ports.EngineRole.PREFILL, 400, 1)
    decode = saturate(ports.EngineRole.DECODE, 1, 400)
    print(f"prefill alone {prefill.prompt:.0f} tokens/s")
    print(f"decode alone {decode.output:.0f} tokens/s")
    for words, tokens in MIXES:
        both = saturate(ports.EngineRole.BOTH, words, tokens)
        loss = mixing_loss(both, prefill, decode)
        print(f"{words} words, {tokens} tokens: loss {loss:.3f}")


if __name__ == "__main__":
    main()
