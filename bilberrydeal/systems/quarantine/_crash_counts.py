"""A quarantine system that counts the crashes under each part."""

import collections.abc

import attrs

from . import _base
from . import _crashes
from . import _evidence
from . import _life_signs
from . import _quarantine_table
from . import _reports
from . import _sound_parts
from . import _telling
from . import _unproven_ends


@_base.QUARANTINES.register("crash_counts")
class CrashCounts:
    """Quarantines a part after several crashes without a completed stream.

    All losses of one run of an engine count as one, by whatever gateways they
    are reported, and so do crashes of several engines at the same time if not
    all of them generated the part. Parts that always occur together are
    quarantined together, so that a request with some of them goes on until it
    is known which one it is.
    """

    def __init__(self) -> None:
        self._crashes = _crashes.Crashes()
        self._sound = _sound_parts.SoundParts()
        self._unproven_ends = _unproven_ends.UnprovenEnds(
            _life_signs.ALIVE_AFTER_S, _life_signs.ALIVE_WITHIN_S
        )
        self._life_signs = _life_signs.LifeSigns()
        self._quarantines = _quarantine_table.QuarantineTable()
        #: Since when the evidence against parts suffices.
        self._pending_s: dict[bytes, float] = {}
        #: Parts that were reported as suspected.
        self._suspected: set[bytes] = set()
        #: Parts whose evidence has changed.
        self._changed: set[bytes] = set()
        self._decisions: list[_base.Decision] = []
        self._telling = _telling.Telling()

    def observe_loss(self, loss: _base.EngineLoss, now_s: float) -> None:
        """Record that an engine was lost while it generated a stream."""
        run = loss.process
        if _base.is_request(loss.prompt.request_part):
            run = self._crashes.run_of(loss.process, loss.sent_s)
        self._unproven_ends.drop(loss.process)
        known = self._crashes.get(run) is not None
        crash = self._crashes.put(run, loss.failure_domain, now_s)
        if _base.is_request(loss.prompt.request_part):
            crash.sent_s = max(loss.sent_s, crash.sent_s or loss.sent_s)
        if self._add(crash, loss.prompt, now_s) or not known:
            self._telling.losses.add(run, now_s)

    def observe_sound(self, parts: _base.Parts, now_s: float) -> None:
        """Record that an engine completed a stream, or well began it."""
        for part in parts[:-1]:
            self._sound.add(part, now_s)
            if self._clear(part, now_s):
                self._telling.sound.add(part, now_s)

    def observe_unproven_end(
        self, process: str, parts: _base.Parts, now_s: float
    ) -> None:
        """Record that a stream ended as it does if its engine is lost."""
        self._unproven_ends.add(process, parts, now_s)

    def observe_response(
        self, process: str, sent_s: float, now_s: float
    ) -> None:
        """Record that an engine responded to a request sent at a time."""
        for parts in self._unproven_ends.proven(process, sent_s):
            self.observe_sound(parts, now_s)
        self._life_signs.note_response(process, sent_s)
        for crash in self._crashes.runs_of(process):
            if now_s - crash.at_s < _life_signs.ALIVE_WITHIN_S:
                self._check_alive(crash, now_s)

    def observe_end(self, process: str, now_s: float) -> None:
        """Record that a run of an engine has ended and another one begun."""
        for retracted in self._life_signs.note_end(process, now_s):
            self._count_again(retracted, now_s)

    def _count_again(self, retracted: _crashes.Crash, now_s: float) -> None:
        """Count a loss that a response seemed to contradict."""
        run = retracted.process
        self._telling.alive.drop(run)
        if now_s - retracted.at_s >= _life_signs.RESTART_KNOWN_S:
            return
        crash = self._crashes.put(
            run, retracted.failure_domain, retracted.at_s
        )
        for prompt in retracted.prompts():
            self._add(crash, prompt, now_s)
        self._telling.losses.add(run, now_s)

    def run(self, now_s: float) -> list[_base.Decision]:
        """Decide; return what was decided since the last run."""
        self._expire(now_s)
        if self._changed or self._pending_s:
            self._decide(now_s)
        decisions, self._decisions = self._decisions, []
        return decisions

    def find(
        self, parts: _base.Parts, now_s: float
    ) -> _base.Quarantine | None:
        """Return the quarantine that keeps a prompt from engines."""
        return self._quarantines.find(parts, now_s)

    def suspects(self, parts: _base.Parts, now_s: float) -> bool:
        """Return whether a prompt must not be sent to a second engine."""
        if self.find(parts, now_s) is not None:
            return True
        return any(
            self._weigh(part, now_s).suspicious
            for part in parts[:-1]
            if self._crashes.count(part) >= _evidence.SUSPECTED_CRASHES
        )

    def probe(self, quarantine: _base.Quarantine, now_s: float) -> bool:
        """Return whether to let a request through; it is not due again."""
        if not self._quarantines.probe(quarantine, now_s):
            return False
        self._telling.tell_quarantines()
        return True

    def quarantines(self, now_s: float) -> tuple[_base.Quarantine, ...]:
        """Return the quarantines in force."""
        return self._quarantines.in_force(now_s)

    def restore(self, quarantine: _base.Quarantine, now_s: float) -> None:
        """Add a quarantine that was stored."""
        self._learn_quarantine(quarantine, now_s)

    def news(self, gateways: int, now_s: float) -> _base.News:
        """Return what is due to be told in a fleet of some gateways."""
        return self._telling.news(
            self._crashes, self.quarantines(now_s), gateways, now_s
        )

    def summary(self, now_s: float) -> _base.News:
        """Return all that a gateway which has just started has to know."""
        return _base.News(
            losses=_reports.loss_reports(list(self._crashes), now_s),
            quarantines=_reports.quarantine_reports(
                self.quarantines(now_s), now_s
            ),
        )

    def learn(self, news: _base.News, now_s: float) -> None:
        """Record what another gateway has told."""
        for part in news.sound:
            self._sound.add(part, now_s)
            self._telling.sound.drop(part)
            self._clear(part, now_s)
        for process in news.alive:
            self._discard_crash(process)
        for report in news.losses:
            self._learn_loss(report, now_s)
        for each in news.quarantines:
            if not 0.0 <= each.renewed_age_s <= each.age_s:
                continue
            self._learn_quarantine(
                _base.Quarantine(
                    frozenset(each.parts),
                    now_s - each.age_s,
                    now_s - each.renewed_age_s,
                    each.crashes,
                    each.engines,
                ),
                now_s,
            )

    def _add(
        self, crash: _crashes.Crash, prompt: _base.SuspectPrompt, now_s: float
    ) -> bool:
        """Add a prompt to a lost engine; return whether that is new."""
        parts = tuple(
            part
            for part in dict.fromkeys(prompt.parts)
            if 0 < len(part) <= _base.PART_BYTES_LIMIT
            and not self._sound.acquits(part, crash.at_s, now_s)
        )
        if not parts:
            return False
        added = self._crashes.add(crash, attrs.evolve(prompt, parts=parts))
        if added:
            self._changed.update(parts)
        return added

    def _learn_loss(self, report: _base.LossReport, now_s: float) -> None:
        if not 0.0 <= report.age_s < _crashes.KEPT_S:
            return
        at_s = now_s - report.age_s
        self._unproven_ends.drop(_crashes.process_of(report.process))
        crash = self._crashes.put(report.process, report.failure_domain, at_s)
        for prompt in report.prompts:
            for part in prompt.parts:
                self._report_sound(part, at_s, now_s)
            if _base.is_request(prompt.request_part):
                self._add(self._run_crash(report, at_s, now_s), prompt, now_s)
            else:
                self._add(crash, prompt, now_s)
        self._check_alive(crash, now_s)

    def _run_crash(
        self, report: _base.LossReport, at_s: float, now_s: float
    ) -> _crashes.Crash:
        """Return the crash of the run that a reported request was sent to.

        The gateway that reports it may not know of the runs before.
        """
        run = report.process
        if report.sent_age_s is not None and (
            report.sent_age_s >= report.age_s
        ):
            run = self._crashes.run_of(run, now_s - report.sent_age_s)
        return self._crashes.put(run, report.failure_domain, at_s)

    def _learn_quarantine(
        self, quarantine: _base.Quarantine, now_s: float
    ) -> None:
        since_s = quarantine.decided_s
        for part in quarantine.parts:
            self._report_sound(part, since_s, now_s)
        parts = frozenset(
            part
            for part in quarantine.parts
            if not self._sound.acquits(part, since_s, now_s)
        )
        learned = attrs.evolve(quarantine, parts=parts)
        if not parts or not _quarantine_table.in_force(learned, now_s):
            return
        if self._quarantines.dismissed(parts, now_s):
            return
        if self._quarantines.merge(learned):
            return
        if not any(narrower < parts for narrower in self._quarantines):
            self._quarantine(learned, now_s, learned_from_other=True)

    def _report_sound(self, part: bytes, lost_s: float, now_s: float) -> None:
        """Tell others that a part is sound, unless it is being told."""
        if part not in self._telling.sound and self._sound.acquits(
            part, lost_s, now_s
        ):
            self._telling.sound.add(part, now_s)

    def _clear(self, part: bytes, now_s: float) -> bool:
        """Take a part out of all evidence; return whether it was in any."""
        known = self._crashes.count(part) > 0
        if known:
            self._crashes.clear(part)
        self._pending_s.pop(part, None)
        self._suspected.discard(part)
        for parts in [each for each in self._quarantines if part in each]:
            known = True
            quarantine = self._quarantines.pop(parts)
            self._note(_base.DecisionKind.ENDED, quarantine)
            rest = attrs.evolve(quarantine, parts=parts - {part})
            if rest.parts and rest.parts not in self._quarantines:
                self._quarantine(rest, now_s)
        return known

    def _check_alive(self, crash: _crashes.Crash, now_s: float) -> None:
        """Forget a loss if the engine responded after it."""
        if self._life_signs.responded_after(crash):
            self._discard_crash(crash.process)
            if not self._life_signs.ended(crash.process):
                self._telling.alive.add(crash.process, now_s)

    def _discard_crash(self, process: str) -> None:
        crash = self._crashes.get(process)
        if crash is None or self._life_signs.ended(process):
            return
        self._life_signs.retract(crash)
        self._changed.update(crash.parts())
        self._crashes.remove(process)
        self._telling.losses.drop(process)

    def _expire(self, now_s: float) -> None:
        self._crashes.expire(now_s)
        self._unproven_ends.expire(now_s)
        self._life_signs.expire(now_s)
        for quarantine in self._quarantines.expire(now_s):
            self._note(_base.DecisionKind.ENDED, quarantine)
        self._suspected = {
            part for part in self._suspected if self._crashes.count(part)
        }

    def _decide(self, now_s: float) -> None:
        """Quarantine what the evidence suffices for, the strongest first."""
        for part in self._changed | self._pending_s.keys():
            if self._crashes.count(part) < _evidence.SUSPECTED_CRASHES:
                self._pending_s.pop(part, None)
                continue
            evidence = self._weigh(part, now_s)
            self._note_suspected(evidence)
            if evidence.suffices:
                self._pending_s.setdefault(part, now_s)
            else:
                self._pending_s.pop(part, None)
        self._changed.clear()
        pending = [
            (self._weigh(part, now_s), since_s)
            for part, since_s in self._pending_s.items()
        ]
        due = [
            evidence
            for evidence, since_s in pending
            if now_s - since_s >= evidence.settle_s
        ]
        while due:
            leader = max(due, key=lambda evidence: evidence.weight)
            self._quarantine(
                _base.Quarantine(
                    self._inseparable(leader),
                    now_s,
                    now_s,
                    len(leader.crashes),
                    leader.engines,
                ),
                now_s,
            )
            again = [
                attrs.evolve(
                    evidence, unexplained=self._unexplained(evidence.crashes)
                )
                for evidence in due
            ]
            due = [evidence for evidence in again if evidence.suffices]
        self._pending_s = {
            evidence.part: since_s
            for evidence, since_s in pending
            if now_s - since_s < evidence.settle_s
        }

    def _inseparable(self, leader: _evidence.Evidence) -> frozenset[bytes]:
        """Return the parts that all prompts with a part contain."""
        common: frozenset[bytes] | None = None
        for crash in self._crashes.of(leader.part):
            for prompt in crash.prompts_with(leader.part):
                parts = frozenset(prompt.parts)
                common = parts if common is None else common & parts
        return common or frozenset([leader.part])

    def _quarantine(
        self,
        quarantine: _base.Quarantine,
        now_s: float,
        learned_from_other: bool = False,
    ) -> None:
        self._quarantines.allow(quarantine.parts)
        for parts in list(self._quarantines):
            if self._explains(quarantine.parts, parts):
                dismissed = self._quarantines.dismiss(parts, now_s)
                self._note(_base.DecisionKind.ENDED, dismissed)
        oldest = self._quarantines.put(quarantine)
        if oldest is not None:
            self._note(_base.DecisionKind.ENDED, oldest)
        self._telling.tell_quarantines()
        self._note(
            _base.DecisionKind.QUARANTINED, quarantine, learned_from_other
        )

    def _explains(
        self, parts: frozenset[bytes], others: frozenset[bytes]
    ) -> bool:
        """Return whether all crashes under others, and more, are under some.

        Nothing speaks against these others then.
        """
        under = [crash for crash in self._crashes if crash.explained_by(parts)]
        under_others = [
            crash for crash in self._crashes if crash.explained_by(others)
        ]
        return (
            not others & parts
            and _evidence.SUSPECTED_CRASHES <= len(under_others) < len(under)
            and all(crash in under for crash in under_others)
        )

    def _weigh(self, part: bytes, now_s: float) -> _evidence.Evidence:
        crashes = self._crashes.independent(part)
        prompts = [crash.prompts_with(part) for crash in crashes]
        requests = {
            each.request_part for of_crash in prompts for each in of_crash
        }
        return _evidence.Evidence(
            part=part,
            crashes=tuple(crashes),
            unexplained=self._unexplained(crashes),
            started=sum(any(p.started for p in each) for each in prompts),
            requests=len(requests),
            once_sound=self._sound.knows(part, now_s),
        )

    def _unexplained(
        self, crashes: collections.abc.Iterable[_crashes.Crash]
    ) -> int:
        """Return the number of crashes that no quarantine explains."""
        return sum(
            not any(crash.explained_by(parts) for parts in self._quarantines)
            for crash in crashes
        )

    def _note_suspected(self, evidence: _evidence.Evidence) -> None:
        if evidence.suspicious and evidence.part not in self._suspected:
            self._suspected.add(evidence.part)
            self._decisions.append(
                _base.Decision(
                    _base.DecisionKind.SUSPECTED,
                    (evidence.part,),
                    len(evidence.crashes),
                    evidence.engines,
                )
            )

    def _note(
        self,
        kind: _base.DecisionKind,
        quarantine: _base.Quarantine,
        learned: bool = False,
    ) -> None:
        self._decisions.append(
            _base.Decision(
                kind,
                tuple(sorted(quarantine.parts)),
                quarantine.crashes,
                quarantine.engines,
                learned,
            )
        )
