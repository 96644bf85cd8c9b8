"""Collects the queries and answers to other gateways into messages."""

import attrs

from . import _messages

#: Most queries or answers in a message, to fit into one packet.
BATCH_LIMIT = 32


@attrs.frozen
class Outgoing:
    """A message and the gateways that it goes to."""

    recipients: tuple[str, ...]
    message: _messages.Message


@attrs.define
class _Outbox:
    """What is to be sent to one gateway."""

    queries: list[_messages.Query] = attrs.field(factory=list)
    answers: list[_messages.Answer] = attrs.field(factory=list)

    def messages(self) -> list[_messages.Message]:
        """Return the messages to send, in batches."""
        longest = max(len(self.queries), len(self.answers))
        return [
            _messages.Message(
                tuple(self.queries[first : first + BATCH_LIMIT]),
                tuple(self.answers[first : first + BATCH_LIMIT]),
            )
            for first in range(0, longest, BATCH_LIMIT)
        ]


class Outboxes:
    """What is to be sent to other gateways."""

    def __init__(self) -> None:
        self._outboxes: dict[str, _Outbox] = {}

    def add_query(self, recipient: str, query: _messages.Query) -> None:
        """Send a query with the next messages."""
        self._of(recipient).queries.append(query)

    def add_answer(self, recipient: str, answer: _messages.Answer) -> None:
        """Send an answer with the next messages."""
        self._of(recipient).answers.append(answer)

    def take(self) -> list[Outgoing]:
        """Return the messages to send since the last call."""
        outgoing = [
            Outgoing((recipient,), message)
            for recipient, outbox in self._outboxes.items()
            for message in outbox.messages()
        ]
        self._outboxes.clear()
        return outgoing

    def _of(self, recipient: str) -> _Outbox:
        found = self._outboxes.get(recipient)
        if found is None:
            found = self._outboxes[recipient] = _Outbox()
        return found
