"""What an agent keeps for one entry over all its sessions."""

import collections.abc

from .. import errors
from . import _ledger
from . import _messages
from . import _session
from . import _work


class Peer:
    """The requests of one entry at this agent.

    They outlive a session: the entry resumes them on the next one.
    """

    def __init__(
        self,
        entry: str,
        executor: _work.Executor,
        clock: collections.abc.Callable[[], float],
        floor: int = 0,
    ) -> None:
        self.entry = entry
        #: The present session, if there is one.
        self.session: _session.Session | None = None
        #: When the last session ended, or the peer was made.
        self.away_since_s = clock()
        #: Whether it stayed away past the resume window.
        self.gone = False
        #: Ends that are remembered.
        self.ledger = _ledger.Ledger(floor)
        self._executor = executor
        self._clock = clock
        self._works: dict[int, _work.Work] = {}
        self._highest = 0
        self._attached_at_s = self.away_since_s

    @property
    def highest(self) -> int:
        """Highest sequence of which anything is known."""
        floor = max(self.ledger.short_floor, self.ledger.long_floor)
        return max(self._highest, floor)

    @property
    def connected(self) -> bool:
        """Whether the entry can be sent to."""
        return self.session is not None and self.session.established

    @property
    def idle(self) -> bool:
        """Whether no request of the entry waits, runs or is not taken."""
        return not self._works

    def attach(self, session: _session.Session) -> None:
        """Take a new session; requests wait there to be resumed."""
        if self.session is not None:
            self.session.close()
        self.session = session
        self._attached_at_s = self._clock()
        self.gone = False
        for work in self._works.values():
            work.attached = False

    def detach(self, session: _session.Session) -> None:
        """Let go of a session that ended, unless another came."""
        if self.session is session:
            self.session = None
            self.away_since_s = self._clock()

    def give_up(self) -> None:
        """End the requests of an entry that stayed away too long.

        What is not idempotent and began runs to its end; its answer is
        kept for a query.
        """
        self.gone = True
        for work in list(self._works.values()):
            self._give_up(work)

    def give_up_unclaimed(self, before_s: float) -> None:
        """End requests not resumed on a session that began before then.

        The entry has given them up itself while it had no link.
        """
        if self._attached_at_s > before_s:
            return
        for work in list(self._works.values()):
            if not work.attached and not work.discarded:
                self._give_up(work)

    def _give_up(self, work: _work.Work) -> None:
        work.discard()
        self._drop_taken(work)
        if not work.ended and _stoppable(work):
            self._executor.cancel(work)

    def send(self, message: _messages.Message, urgent: bool = False) -> None:
        """Send to the entry if it is there."""
        if self.session is not None:
            self.session.send(message, urgent)

    def handle(self, message: _messages.Message) -> None:
        """Take one message about requests of this entry."""
        match message:
            case _messages.Submit():
                self._submit(message)
            case _messages.TakeOver():
                self._submit(message.submit, message)
            case _messages.Ack():
                self._acknowledge(message)
            case _messages.Resume():
                self._resume(message)
            case _messages.Cancel():
                self._cancel(message.sequence)
            case _:
                pass  # Nothing else is about requests.

    def look_up(
        self, sequence: int
    ) -> tuple[_messages.QueryOutcome, _messages.Finished | None]:
        """Return what became of a request that is not idempotent."""
        work = self._works.get(sequence)
        if work is not None and not work.ended:
            if work.started or self.connected:
                return _messages.QueryOutcome.RUNNING, None
            self._executor.cancel(work)
        end = self.ledger.get(sequence)
        if end is None and sequence <= self.ledger.long_floor:
            return _messages.QueryOutcome.UNKNOWN, None
        if end is None:
            self._bury(sequence)
            return _messages.QueryOutcome.NOT_STARTED, None
        if not end.started:
            return _messages.QueryOutcome.NOT_STARTED, None
        if end.answer is None:
            return _messages.QueryOutcome.UNKNOWN, None
        return _messages.QueryOutcome.FINISHED, end.answer

    def _submit(
        self,
        submit: _messages.Submit,
        taken: _messages.TakeOver | None = None,
    ) -> None:
        sequence = submit.number.sequence
        if submit.number.entry != self.entry or sequence in self._works:
            return
        if self._forgotten(sequence):
            self._answer_ended(sequence, (taken.chunk if taken else 0) + 1)
            return
        work = _work.Work(submit, self._clock(), self._publish, taken)
        work.attached = True
        self._works[sequence] = work
        self._highest = max(self._highest, sequence)
        self._executor.submit(work)

    def _forgotten(self, sequence: int) -> bool:
        """Whether the request may have been here before."""
        floor = max(self.ledger.short_floor, self.ledger.long_floor)
        return self.ledger.get(sequence) is not None or sequence <= floor

    def _answer_ended(self, sequence: int, chunk: int) -> None:
        """End a request whose answer is gone, or give the one kept."""
        end = self.ledger.get(sequence)
        if end is not None and end.answer and end.answer.chunk == chunk:
            self.send(end.answer, urgent=True)
            return
        self.send(
            _messages.Refused(
                sequence=sequence,
                chunk=chunk,
                reason=errors.ErrorCode.CANCELLED.value,
                started=end.started if end is not None else True,
            ),
            urgent=True,
        )

    def _acknowledge(self, ack: _messages.Ack) -> None:
        work = self._works.get(ack.sequence)
        if work is None:
            return
        work.forget(ack.chunk)
        self._drop_taken(work)

    def _resume(self, resume: _messages.Resume) -> None:
        work = self._works.get(resume.sequence)
        if work is not None and work.covers(resume.chunk):
            work.forget(resume.chunk)
            work.attached = True
            work.discarded = False
            for part in work.past(resume.chunk):
                self.send(part, urgent=True)
        elif work is not None or self._forgotten(resume.sequence):
            self._answer_ended(resume.sequence, chunk=resume.chunk + 1)
        else:
            self.send(_messages.Missing(sequence=resume.sequence), urgent=True)

    def _cancel(self, sequence: int) -> None:
        outcome = self._end(sequence)
        self.send(
            _messages.CancelResult(sequence=sequence, outcome=outcome),
            urgent=True,
        )

    def _end(self, sequence: int) -> _messages.CancelOutcome:
        work = self._works.get(sequence)
        if work is not None and not work.ended:
            self._executor.cancel(work)
            if work.started:
                return _messages.CancelOutcome.STARTED
        end = self.ledger.get(sequence)
        if end is not None:
            return (
                _messages.CancelOutcome.FINISHED
                if end.started
                else _messages.CancelOutcome.NOT_STARTED
            )
        if self._forgotten(sequence):
            return _messages.CancelOutcome.FINISHED
        self._bury(sequence)
        return _messages.CancelOutcome.NOT_STARTED

    def _bury(self, sequence: int) -> None:
        self._highest = max(self._highest, sequence)
        self.ledger.bury(sequence, self._clock())

    def _publish(self, work: _work.Work, part: _work.Part) -> None:
        last = not isinstance(part, _messages.Chunk)
        if last:
            self._remember(work)
        if work.discarded:
            work.forget(part.chunk)
            self._drop_taken(work)
        elif work.attached:
            self.send(part, urgent=last or part.chunk == 1)

    def _drop_taken(self, work: _work.Work) -> None:
        if work.acknowledged:
            self._works.pop(work.sequence, None)

    def _remember(self, work: _work.Work) -> None:
        now_s = self._clock()
        if work.submit.idempotent:
            self.ledger.put_idempotent(work.sequence, work.started, now_s)
            return
        answer = work.last
        self.ledger.put(
            work.sequence,
            work.started,
            now_s,
            answer if isinstance(answer, _messages.Finished) else None,
        )


def _stoppable(work: _work.Work) -> bool:
    return work.submit.idempotent or not work.started
