"""Messages between gateways about quotas.

They are sent for each request, so they are structures that the codec reads
and writes without a copy, as arrays. New fields go to the end, with a default.
"""

import msgspec

#: Wait that tells that the asked gateway does not decide about the
#: organisation.
NOT_HOME = -1.0


class Query(msgspec.Struct, array_like=True, frozen=True):
    """Asks the home to take a cost from a quota."""

    #: Identifies the query among those of its sender; increases.
    sequence: int
    organisation: str
    #: Units to take; less than 0 to give them back.
    cost: float


class Answer(msgspec.Struct, array_like=True, frozen=True):
    """The home's decision about a query."""

    #: That of the query.
    sequence: int
    #: 0 if the cost was taken, else the time until it may fit, in seconds, or
    #: ``NOT_HOME``.
    wait_s: float
    #: Rate that the asker may use of the quota while it does not hear the
    #: home, in units per second.
    share_per_s: float


class Heartbeat(msgspec.Struct, array_like=True, frozen=True):
    """Shows that its sender lives, and which gateways it knows."""

    #: Digest of the names of all gateways that the sender knows.
    digest: int
    #: Address at which the sender receives datagrams.
    address: str
    #: Positions, in that order of names, of gateways that it does not hear.
    unheard: tuple[int, ...] = ()
    #: Gateways that are not listed in the store any more.
    gone: tuple[str, ...] = ()
    #: Whether the sender shuts down.
    leaving: bool = False
    #: Whether the sender knows all gateways that started with it.
    settled: bool = False


class Message(msgspec.Struct, array_like=True, frozen=True):
    """What one gateway tells another about quotas."""

    queries: tuple[Query, ...] = ()
    answers: tuple[Answer, ...] = ()
    heartbeat: Heartbeat | None = None
