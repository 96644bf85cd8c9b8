"""Why nothing tells what began a stream."""

import enum

import attrs


class UnknownCause(enum.Enum):
    """What a gateway lacks to bind a stream that a caller resumes."""

    #: The store could not be read in time, so the stream may be stored.
    UNREAD = "unread"
    #: The store was read, and the stream is not stored.
    UNSTORED = "unstored"
    #: It is known, but its engine has another version under the same id.
    DOUBTFUL = "doubtful"


@attrs.frozen
class UnknownOrigin:
    """The outcome for a stream that can't be bound to a version."""

    cause: UnknownCause
    #: What failed, for operators.
    reason: str = ""
