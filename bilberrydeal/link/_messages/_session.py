"""Messages that open a session and keep it alive."""

import attrs


@attrs.frozen
class Hello:
    """Opens a link; sent by the entry to the agent's control port."""

    #: Version that the entry speaks.
    protocol_version: int
    #: Incarnation of the entry.
    entry: str
    #: The failure domain of the entry.
    failure_domain: str


@attrs.frozen
class HelloReply:
    """Where to dial, or why not."""

    #: Version that the agent speaks.
    protocol_version: int
    #: Incarnation of the agent.
    agent: str
    #: Name of the endpoint that the agent serves.
    endpoint_id: str
    #: Port of the pair socket that waits for this link, 0 when refused.
    port: int
    #: Number of the session that the pair socket is for.
    session: int = 0
    #: Why the link was refused, empty when it was not.
    refusal: str = ""
    #: Whether the agent takes :class:`TakeOver`.
    takes_over: bool = False


@attrs.frozen
class Open:
    """The first message of an entry on a pair socket.

    An agent takes nothing before it, so that an entry that dials late
    cannot take over a port that was given to another one since.
    """

    #: Incarnation of the entry.
    entry: str
    #: Incarnation of the agent, out of the answer to the hello.
    agent: str
    #: Session, out of the answer to the hello.
    session: int


@attrs.frozen
class Ack:
    """Tells the agent that it may forget chunks."""

    #: Sequence of the request.
    sequence: int
    #: All chunks up to this one have arrived.
    chunk: int


@attrs.frozen
class Resume:
    """After a new dial: send the chunks past this one again."""

    #: Sequence of the request.
    sequence: int
    #: The last chunk that arrived, 0 for none.
    chunk: int


@attrs.frozen
class Missing:
    """Answers :class:`Resume`: the agent never got this request.

    The entry sends the :class:`Submit` again.
    """

    #: Sequence of the request.
    sequence: int


@attrs.frozen
class Heartbeat:
    """Sent by the entry, which wants it echoed at once."""

    #: Number that the echo repeats.
    beat: int
    #: The next heartbeat follows within so many milliseconds.
    next_ms: int


@attrs.frozen
class Echo:
    """The answer of the agent to a heartbeat."""

    #: Number of the heartbeat.
    beat: int
