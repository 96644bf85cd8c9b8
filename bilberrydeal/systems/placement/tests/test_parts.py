"""Tests of the prompt cache model and of rendezvous hashing."""

import collections

from ... import placement


def _prompt(*parts: tuple[bytes, int]) -> placement.Prompt:
    return placement.Prompt(
        tuple(placement.PromptPart(name, size) for name, size in parts), 1
    )


def test_only_a_contiguous_prefix_counts_as_cached() -> None:
    cache = placement.PartCache(1_000)
    cache.record(_prompt((b"a", 10), (b"b", 20)))
    assert cache.cached_tokens(_prompt((b"a", 10), (b"b", 20))) == 30
    assert cache.cached_tokens(_prompt((b"a", 10), (b"x", 5))) == 10
    assert cache.cached_tokens(_prompt((b"x", 5), (b"a", 10))) == 0


def test_least_recently_used_parts_are_evicted() -> None:
    cache = placement.PartCache(30)
    cache.record(_prompt((b"a", 10)))
    cache.record(_prompt((b"b", 10)))
    cache.record(_prompt((b"a", 10)))
    cache.record(_prompt((b"c", 20)))
    assert cache.cached_tokens(_prompt((b"a", 10))) == 10
    assert cache.cached_tokens(_prompt((b"b", 10))) == 0


def test_removing_an_engine_moves_only_its_own_parts() -> None:
    engines = [f"e{n}" for n in range(5)]
    parts = [b"part%d" % n for n in range(500)]

    def owners(present: list[str]) -> dict[bytes, str]:
        return {
            part: max(
                present, key=lambda e: placement.rendezvous_score(part, e)
            )
            for part in parts
        }

    before = owners(engines)
    after = owners(engines[:-1])
    for part in parts:
        if before[part] != "e4":
            assert after[part] == before[part]


def test_parts_are_distributed_in_proportion_to_weights() -> None:
    counts = collections.Counter(
        max(
            ("light", "heavy"),
            key=lambda e: placement.rendezvous_score(
                b"p%d" % n, e, 3.0 if e == "heavy" else 1.0
            ),
        )
        for n in range(4_000)
    )
    assert 2_850 < counts["heavy"] < 3_150
