"""Lost engines and the prompts that they generated."""

import collections.abc

import attrs

from . import _base

#: Time for which a loss counts, in seconds.
KEPT_S = 600.0
#: Most lost engines remembered; the oldest yield.
LIMIT = 128
#: Most prompts remembered for one of them.
PROMPTS_LIMIT = 192
#: Most parts remembered of a prompt.
PARTS_LIMIT = 8
#: Longest identifier of a part that is suspected, in bytes.
PART_BYTES_LIMIT = 128
#: Losses within this time may have a cause in common, in seconds.
COINCIDENCE_S = 0.1
#: The same for losses in one failure domain.
DOMAIN_COINCIDENCE_S = 1.0


@attrs.define(eq=False)
class Crash:
    """A lost engine, as seen by all gateways."""

    #: Identifies one run of the engine.
    process: str
    failure_domain: str
    #: When it was lost, monotonic seconds.
    at_s: float
    #: Prompts that it generated, by their request parts.
    prompts: dict[bytes, _base.SuspectPrompt] = attrs.field(factory=dict)

    def add(self, prompt: _base.SuspectPrompt) -> bool:
        """Add a prompt; return whether it was not known."""
        before = self.prompts.get(prompt.request_part)
        if before is None:
            if len(self.prompts) >= PROMPTS_LIMIT:
                return False
            self.prompts[prompt.request_part] = prompt
            return True
        parts = dict.fromkeys((*before.parts, *prompt.parts))
        merged = attrs.evolve(
            before,
            parts=tuple(parts)[:PARTS_LIMIT],
            started=before.started or prompt.started,
        )
        self.prompts[prompt.request_part] = merged
        return merged != before

    def prompts_with(self, part: bytes) -> list[_base.SuspectPrompt]:
        """Return the prompts that contain a part."""
        return [each for each in self.prompts.values() if part in each.parts]

    def explained_by(self, parts: frozenset[bytes]) -> bool:
        """Return whether one of the prompts contains all parts."""
        return any(
            parts.issubset(prompt.parts) for prompt in self.prompts.values()
        )


class Crashes:
    """Lost engines, and for each part those that generated it."""

    def __init__(self) -> None:
        self._crashes: dict[str, Crash] = {}
        self._by_part: dict[bytes, dict[str, None]] = {}

    def __iter__(self) -> collections.abc.Iterator[Crash]:
        """Return the lost engines."""
        return iter(list(self._crashes.values()))

    def get(self, process: str) -> Crash | None:
        """Return a lost engine."""
        return self._crashes.get(process)

    def put(self, process: str, failure_domain: str, at_s: float) -> Crash:
        """Return a lost engine, which is added if it is not known."""
        crash = self._crashes.get(process)
        if crash is None:
            crash = Crash(process, failure_domain, at_s)
            self._crashes[process] = crash
            if len(self._crashes) > LIMIT:
                self.remove(min(self, key=lambda each: each.at_s).process)
        # A report that was delayed must not make it later.
        crash.at_s = min(crash.at_s, at_s)
        return crash

    def add(self, crash: Crash, prompt: _base.SuspectPrompt) -> bool:
        """Add a prompt to a lost engine; return whether it is new."""
        if not crash.add(prompt):
            return False
        for part in crash.prompts[prompt.request_part].parts:
            self._by_part.setdefault(part, {})[crash.process] = None
        return True

    def remove(self, process: str) -> None:
        """Forget a lost engine."""
        crash = self._crashes.pop(process, None)
        if crash is None:
            return
        for prompt in crash.prompts.values():
            for part in prompt.parts:
                of_part = self._by_part.get(part, {})
                of_part.pop(process, None)
                if not of_part:
                    self._by_part.pop(part, None)

    def clear(self, part: bytes) -> None:
        """Forget a part."""
        for process in self._by_part.pop(part, ()):
            crash = self._crashes[process]
            for prompt in crash.prompts_with(part):
                rest = tuple(each for each in prompt.parts if each != part)
                crash.prompts[prompt.request_part] = attrs.evolve(
                    prompt, parts=rest
                )

    def expire(self, now_s: float) -> None:
        """Forget old losses."""
        for crash in self:
            if now_s - crash.at_s >= KEPT_S:
                self.remove(crash.process)

    def count(self, part: bytes) -> int:
        """Return the number of lost engines that generated a part."""
        return len(self._by_part.get(part, ()))

    def of(self, part: bytes) -> list[Crash]:
        """Return the lost engines that generated a part, in order."""
        found = [self._crashes[name] for name in self._by_part.get(part, ())]
        return sorted(found, key=lambda crash: crash.at_s)


def independent(crashes: list[Crash], others: list[Crash]) -> list[Crash]:
    """Return losses, given in order, that count one by one.

    Those beside which others occur count as one, since they have a cause in
    common with these others.
    """
    counted: list[Crash] = []
    for crash in crashes:
        common = any(_coincide(crash, other) for other in others)
        if common and any(_coincide(crash, before) for before in counted):
            continue
        counted.append(crash)
    return counted


def _coincide(one: Crash, other: Crash) -> bool:
    apart_s = abs(one.at_s - other.at_s)
    if one.failure_domain == other.failure_domain:
        return apart_s < DOMAIN_COINCIDENCE_S
    return apart_s < COINCIDENCE_S
