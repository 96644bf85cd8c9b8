"""Messages that open a session and keep it alive."""

import attrs


@attrs.frozen
class Hello:
    """Opens a link; sent by the entry to the agent's control port."""

    #: Protocol version of the entry.
    protocol_version: int
    #: Incarnation of the entry.
    entry: str
    #: Failure domain of the entry.
    failure_domain: str


@attrs.frozen
class HelloReply:
    """The reply to :class:`Hello`: the port to dial, or a refusal."""

    #: Protocol version of the agent.
    protocol_version: int
    #: Incarnation of the agent.
    agent: str
    #: Identifier of the endpoint that the agent serves.
    endpoint_id: str
    #: Port of the pair socket that waits for this link; 0 if refused.
    port: int
    #: Number of the session that the pair socket serves.
    session: int = 0
    #: Why the link was refused; empty if it was not.
    refusal: str = ""
    #: Whether the agent supports :class:`TakeOver`.
    takes_over: bool = False


@attrs.frozen
class Open:
    """The first message of an entry on a pair socket.

    The agent rejects any message before it, so that an entry that dials late
    cannot use a port that has since been assigned to another entry.
    """

    #: Incarnation of the entry.
    entry: str
    #: Incarnation of the agent, from the hello reply.
    agent: str
    #: Session number, from the hello reply.
    session: int


@attrs.frozen
class Ack:
    """Acknowledges chunks, which the agent may then drop."""

    #: Sequence number of the request.
    sequence: int
    #: All chunks up to this one are acknowledged.
    chunk: int


@attrs.frozen
class Resume:
    """Asks, on a new session, for the chunks after the last one received."""

    #: Sequence number of the request.
    sequence: int
    #: Number of the last chunk received, 0 for none.
    chunk: int


@attrs.frozen
class Missing:
    """Replies to :class:`Resume` that the agent never got this request.

    The entry then sends the :class:`Submit` again.
    """

    #: Sequence number of the request.
    sequence: int


@attrs.frozen
class Heartbeat:
    """Sent by the entry, which expects an immediate echo."""

    #: Number that the echo repeats.
    beat: int
    #: Maximum time until the next heartbeat, in milliseconds.
    next_ms: int


@attrs.frozen
class Echo:
    """The agent's reply to a heartbeat."""

    #: Number of the heartbeat.
    beat: int
