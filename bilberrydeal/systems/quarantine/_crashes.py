"""Lost engines and the prompts that they generated."""

import collections.abc

import attrs

from . import _base

#: Time for which a loss counts, in seconds.
KEPT_S = 600.0
#: Most lost engines remembered; the oldest yield.
LIMIT = 128
#: Most parts of prompts remembered for one of them, and for all; the oldest
#: lost engines yield. Any prompt that fits into the head of a request is
#: remembered whole.
CRASH_ENTRIES_LIMIT = 32_768
ENTRIES_LIMIT = 131_072
#: Losses of one endpoint within this time are one crash, in seconds.
SAME_ENDPOINT_S = 1.0
#: A request sent so long after a loss reached another run, in seconds.
NEXT_RUN_AFTER_S = 0.5
#: Separates the process from the number of a run that did not register.
_RUN_MARK = "#"
#: Losses within this time may have a cause in common, in seconds.
COINCIDENCE_S = 0.1
#: The same for losses in one failure domain.
DOMAIN_COINCIDENCE_S = 1.0


@attrs.define(eq=False)
class _LostPrompt:
    """A prompt that an engine generated when it was lost."""

    request_part: bytes
    #: The other parts that may have crashed it, in order.
    parts: dict[bytes, None]
    #: Whether the response had started.
    started: bool


@attrs.define(eq=False)
class Crash:
    """A lost engine, as seen by all gateways."""

    #: Identifies one run of the engine.
    process: str
    failure_domain: str
    #: When it was lost, monotonic seconds.
    at_s: float
    #: When the newest of its requests was sent to it, monotonic seconds;
    #: ``None`` if that is not known.
    sent_s: float | None = attrs.field(default=None, init=False)
    #: Prompts that it generated, by their request parts.
    _prompts: dict[bytes, _LostPrompt] = attrs.field(factory=dict, init=False)
    #: Number of parts of all prompts.
    entries: int = attrs.field(default=0, init=False)

    def add(self, prompt: _base.SuspectPrompt) -> tuple[bytes, ...] | None:
        """Add a prompt; return the parts that it had not had before.

        ``None`` if nothing is new.
        """
        known = self._prompts.get(prompt.request_part)
        if known is None:
            known = _LostPrompt(prompt.request_part, {}, prompt.started)
        new = tuple(part for part in prompt.parts if part not in known.parts)
        changed = bool(new) or (prompt.started and not known.started)
        if not changed or self.entries + len(new) > CRASH_ENTRIES_LIMIT:
            return None
        known.parts.update(dict.fromkeys(new))
        known.started |= prompt.started
        self._prompts[prompt.request_part] = known
        self.entries += len(new)
        return new

    def clear(self, part: bytes) -> None:
        """Take a part out of all prompts."""
        for prompt in self._with(part):
            del prompt.parts[part]
            self.entries -= 1

    def prompts(self) -> list[_base.SuspectPrompt]:
        """Return all prompts that still have parts."""
        return [
            _suspect(each) for each in self._prompts.values() if each.parts
        ]

    def parts(self) -> set[bytes]:
        """Return the parts of all prompts."""
        return {part for each in self._prompts.values() for part in each.parts}

    def prompts_with(self, part: bytes) -> list[_base.SuspectPrompt]:
        """Return the prompts that contain a part."""
        return [_suspect(each) for each in self._with(part)]

    def explained_by(self, parts: frozenset[bytes]) -> bool:
        """Return whether one of the prompts contains all parts."""
        return any(
            parts <= each.parts.keys() for each in self._prompts.values()
        )

    def _with(self, part: bytes) -> list[_LostPrompt]:
        return [each for each in self._prompts.values() if part in each.parts]


class Crashes:
    """Lost engines, and for each part those that generated it."""

    def __init__(self) -> None:
        self._crashes: dict[str, Crash] = {}
        #: Lost runs of each process.
        self._runs: dict[str, dict[str, None]] = {}
        #: Runs that generated each part.
        self._by_part: dict[bytes, tuple[str, ...]] = {}
        self._entries = 0
        #: Crashes that coincide with one, as far as they were looked for.
        self._coinciding: dict[str, list[Crash]] = {}

    def __iter__(self) -> collections.abc.Iterator[Crash]:
        """Return the lost engines."""
        return iter(list(self._crashes.values()))

    def run_of(self, process: str, sent_s: float) -> str:
        """Return the run of a process that got a request sent at a time.

        An endpoint may start again, and be lost again, before its new
        registration is read.
        """
        run = process
        number = 1
        while self._ended_before(run, sent_s):
            number += 1
            run = f"{process}{_RUN_MARK}{number}"
        return run

    def _ended_before(self, run: str, sent_s: float) -> bool:
        crash = self._crashes.get(run)
        return crash is not None and sent_s >= crash.at_s + NEXT_RUN_AFTER_S

    def get(self, process: str) -> Crash | None:
        """Return a lost engine."""
        return self._crashes.get(process)

    def runs_of(self, process: str) -> list[Crash]:
        """Return the lost runs of a process, as registered."""
        return [self._crashes[run] for run in self._runs.get(process, ())]

    def put(self, process: str, failure_domain: str, at_s: float) -> Crash:
        """Return a lost engine, which is added if it is not known."""
        crash = self._crashes.get(process)
        if crash is None:
            self._coinciding.clear()
            crash = Crash(process, failure_domain, at_s)
            self._crashes[process] = crash
            self._runs.setdefault(process_of(process), {})[process] = None
            if len(self._crashes) > LIMIT:
                self.remove(min(self, key=lambda each: each.at_s).process)
        if at_s < crash.at_s:
            # Reports that were delayed made it too late.
            self._coinciding.clear()
            crash.at_s = at_s
        return crash

    def add(self, crash: Crash, prompt: _base.SuspectPrompt) -> bool:
        """Add a prompt to a lost engine; return whether it is new."""
        before = crash.entries
        added = crash.add(prompt)
        if added is None:
            return False
        self._entries += crash.entries - before
        for part in added:
            runs = self._by_part.get(part, ())
            if crash.process not in runs:
                self._by_part[part] = (*runs, crash.process)
        while self._entries > ENTRIES_LIMIT:
            others = [each for each in self if each is not crash]
            self.remove(min(others, key=lambda each: each.at_s).process)
        return True

    def remove(self, process: str) -> None:
        """Forget a lost engine."""
        crash = self._crashes.pop(process, None)
        if crash is None:
            return
        runs = self._runs[process_of(process)]
        del runs[process]
        if not runs:
            del self._runs[process_of(process)]
        self._coinciding.clear()
        self._entries -= crash.entries
        for part in crash.parts():
            self._forget(part, process)

    def _forget(self, part: bytes, process: str) -> None:
        """Record that a run did not generate a part."""
        runs = tuple(run for run in self._by_part[part] if run != process)
        if runs:
            self._by_part[part] = runs
        else:
            del self._by_part[part]

    def clear(self, part: bytes) -> None:
        """Forget a part."""
        for process in self._by_part.pop(part, ()):
            crash = self._crashes[process]
            before = crash.entries
            crash.clear(part)
            self._entries += crash.entries - before

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

    def independent(self, part: bytes) -> list[Crash]:
        """Return the lost engines of a part that count one by one.

        Those beside which engines were lost that did not generate the part
        count as one, since they may have a cause in common with these. One
        request crashes one endpoint after the other, so that only losses at
        the same moment may have another cause.
        """
        counted: list[Crash] = []
        for crash in self.of(part):
            if any(_same_crash(crash, other) for other in counted):
                continue
            beside = self._beside(crash)
            if _base.is_request(part):
                beside = [
                    other for other in beside if _same_moment(crash, other)
                ]
            runs = self._by_part.get(part, ())
            if any(other.process not in runs for other in beside) and any(
                other in beside for other in counted
            ):
                continue
            counted.append(crash)
        return counted

    def _beside(self, crash: Crash) -> list[Crash]:
        """Return the losses that coincide with one."""
        found = self._coinciding.get(crash.process)
        if found is None:
            found = [
                other
                for other in self._crashes.values()
                if other is not crash and _coincide(crash, other)
            ]
            self._coinciding[crash.process] = found
        return found


def _suspect(prompt: _LostPrompt) -> _base.SuspectPrompt:
    return _base.SuspectPrompt(
        prompt.request_part, tuple(prompt.parts), prompt.started
    )


def process_of(run: str) -> str:
    """Return the process, as registered, of a run."""
    return run.partition(_RUN_MARK)[0]


def _same_crash(one: Crash, other: Crash) -> bool:
    """Return whether gateways may know one crash as two.

    Some of them had read the registration of the run and others had not.
    """
    return (
        one.process.partition("@")[0] == other.process.partition("@")[0]
        and abs(one.at_s - other.at_s) < SAME_ENDPOINT_S
    )


def _coincide(one: Crash, other: Crash) -> bool:
    if one.failure_domain == other.failure_domain:
        return abs(one.at_s - other.at_s) < DOMAIN_COINCIDENCE_S
    return _same_moment(one, other)


def _same_moment(one: Crash, other: Crash) -> bool:
    return abs(one.at_s - other.at_s) < COINCIDENCE_S
