"""The agent's state for one entry, kept across sessions."""

import collections.abc

from .. import errors
from . import _execution
from . import _history
from . import _messages
from . import _session


class Peer:
    """The requests of one entry at this agent.

    They outlive a session: the entry resumes them on the next one.
    """

    def __init__(
        self,
        entry: str,
        executor: _execution.Executor,
        clock: collections.abc.Callable[[], float],
        floor: int = 0,
    ) -> None:
        self.entry = entry
        #: The current session, if any.
        self.session: _session.Session | None = None
        #: When the last session ended or, without one, the peer was created.
        self.disconnected_since_s = clock()
        #: Whether the entry was disconnected past the resume window.
        self.expired = False
        #: Requests that have ended.
        self.history = _history.RequestHistory(floor)
        self._executor = executor
        self._clock = clock
        self._executions: dict[int, _execution.RequestExecution] = {}
        self._highest_sequence = 0
        self._attached_at_s = self.disconnected_since_s

    @property
    def highest_sequence(self) -> int:
        """Highest sequence number that is known or forgotten."""
        floor = max(
            self.history.idempotent_floor, self.history.non_idempotent_floor
        )
        return max(self._highest_sequence, floor)

    @property
    def connected(self) -> bool:
        """Whether the entry has an established session."""
        return self.session is not None and self.session.established

    @property
    def idle(self) -> bool:
        """Whether no request is unfinished or unacknowledged."""
        return not self._executions

    def attach(self, session: _session.Session) -> None:
        """Attach a new session; answers wait until their requests resume."""
        if self.session is not None:
            self.session.close()
        self.session = session
        self._attached_at_s = self._clock()
        self.expired = False
        for execution in self._executions.values():
            execution.attached = False

    def detach(self, session: _session.Session) -> None:
        """Detach a session that has ended, unless it was replaced."""
        if self.session is session:
            self.session = None
            self.disconnected_since_s = self._clock()

    def cancel_requests(self) -> None:
        """Discard the requests of an entry that was away for too long.

        A started request that is not idempotent runs to completion; its
        answer is kept for queries.
        """
        self.expired = True
        for execution in list(self._executions.values()):
            self._discard(execution)

    def cancel_unresumed(self, before_s: float) -> None:
        """Discard requests not resumed on a session attached before then.

        The entry gave them up while it had no link.
        """
        if self._attached_at_s > before_s:
            return
        for execution in list(self._executions.values()):
            if not execution.attached and not execution.discarded:
                self._discard(execution)

    def _discard(self, execution: _execution.RequestExecution) -> None:
        execution.discard()
        self._drop_if_acknowledged(execution)
        if not execution.ended and _cancellable(execution):
            self._executor.cancel(execution)

    def send(self, message: _messages.Message, urgent: bool = False) -> None:
        """Send a message to the entry if it has a session."""
        if self.session is not None:
            self.session.send(message, urgent)

    def handle(self, message: _messages.Message) -> None:
        """Process a message about a request of this entry."""
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
                pass  # No other message concerns requests.

    def look_up(
        self, sequence: int
    ) -> tuple[_messages.QueryOutcome, _messages.Finished | None]:
        """Return the outcome of a request that is not idempotent."""
        execution = self._executions.get(sequence)
        if execution is not None and not execution.ended:
            if execution.started or self.connected:
                return _messages.QueryOutcome.RUNNING, None
            self._executor.cancel(execution)
        end = self.history.get(sequence)
        if end is None and sequence <= self.history.non_idempotent_floor:
            return _messages.QueryOutcome.UNKNOWN, None
        if end is None:
            self._add_tombstone(sequence)
            return _messages.QueryOutcome.NOT_STARTED, None
        if not end.started:
            return _messages.QueryOutcome.NOT_STARTED, None
        if end.answer is None:
            return _messages.QueryOutcome.UNKNOWN, None
        return _messages.QueryOutcome.FINISHED, end.answer

    def _submit(
        self,
        submit: _messages.Submit,
        takeover: _messages.TakeOver | None = None,
    ) -> None:
        sequence = submit.number.sequence
        if submit.number.entry != self.entry or sequence in self._executions:
            return
        if self._possibly_seen(sequence):
            self._reply_to_ended(
                sequence, (takeover.chunk if takeover else 0) + 1
            )
            return
        execution = _execution.RequestExecution(
            submit, self._clock(), self._send_part, takeover
        )
        execution.attached = True
        self._executions[sequence] = execution
        self._highest_sequence = max(self._highest_sequence, sequence)
        self._executor.submit(execution)

    def _possibly_seen(self, sequence: int) -> bool:
        """Return whether the request may have been received before."""
        floor = max(
            self.history.idempotent_floor, self.history.non_idempotent_floor
        )
        return self.history.get(sequence) is not None or sequence <= floor

    def _reply_to_ended(self, sequence: int, chunk: int) -> None:
        """Send the stored answer of an ended request, or a refusal."""
        end = self.history.get(sequence)
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
        execution = self._executions.get(ack.sequence)
        if execution is None:
            return
        execution.drop_parts_through(ack.chunk)
        self._drop_if_acknowledged(execution)

    def _resume(self, resume: _messages.Resume) -> None:
        execution = self._executions.get(resume.sequence)
        if execution is not None and execution.can_resume_after(resume.chunk):
            execution.drop_parts_through(resume.chunk)
            execution.attached = True
            execution.discarded = False
            for part in execution.parts_after(resume.chunk):
                self.send(part, urgent=True)
        elif execution is not None or self._possibly_seen(resume.sequence):
            self._reply_to_ended(resume.sequence, chunk=resume.chunk + 1)
        else:
            self.send(_messages.Missing(sequence=resume.sequence), urgent=True)

    def _cancel(self, sequence: int) -> None:
        outcome = self._cancel_request(sequence)
        self.send(
            _messages.CancelResult(sequence=sequence, outcome=outcome),
            urgent=True,
        )

    def _cancel_request(self, sequence: int) -> _messages.CancelOutcome:
        execution = self._executions.get(sequence)
        if execution is not None and not execution.ended:
            self._executor.cancel(execution)
            if execution.started:
                return _messages.CancelOutcome.STARTED
        end = self.history.get(sequence)
        if end is not None:
            return (
                _messages.CancelOutcome.FINISHED
                if end.started
                else _messages.CancelOutcome.NOT_STARTED
            )
        if self._possibly_seen(sequence):
            return _messages.CancelOutcome.FINISHED
        self._add_tombstone(sequence)
        return _messages.CancelOutcome.NOT_STARTED

    def _add_tombstone(self, sequence: int) -> None:
        self._highest_sequence = max(self._highest_sequence, sequence)
        self.history.add_tombstone(sequence, self._clock())

    def _send_part(
        self, execution: _execution.RequestExecution, part: _execution.Part
    ) -> None:
        last = not isinstance(part, _messages.Chunk)
        if last:
            self._record_end(execution)
        if execution.discarded:
            execution.drop_parts_through(part.chunk)
            self._drop_if_acknowledged(execution)
        elif execution.attached:
            self.send(part, urgent=last or part.chunk == 1)

    def _drop_if_acknowledged(
        self, execution: _execution.RequestExecution
    ) -> None:
        if execution.acknowledged:
            self._executions.pop(execution.sequence, None)

    def _record_end(self, execution: _execution.RequestExecution) -> None:
        now_s = self._clock()
        if execution.submit.idempotent:
            self.history.add_idempotent(
                execution.sequence, execution.started, now_s
            )
            return
        answer = execution.last
        self.history.add(
            execution.sequence,
            execution.started,
            now_s,
            answer if isinstance(answer, _messages.Finished) else None,
        )


def _cancellable(execution: _execution.RequestExecution) -> bool:
    return execution.submit.idempotent or not execution.started
