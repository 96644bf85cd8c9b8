"""The interface of quarantine systems."""

import collections.abc
import enum
import hashlib
import typing

import attrs

from ... import registry

#: Longest identifier of a part, in bytes.
PART_BYTES_LIMIT = 128
#: Parts of a prompt, as identifiers; the last is specific to the request.
Parts = collections.abc.Sequence[bytes]
#: Begins the part that stands for a whole request; no caller's part has it, as
#: it separates those of a prompt.
_REQUEST_MARK = b","


def prompt_parts(part_ids: collections.abc.Iterable[bytes]) -> Parts:
    """Return the parts of a prompt; digests stand for long identifiers."""
    return tuple(
        part_id if len(part_id) <= PART_BYTES_LIMIT else _digest(part_id)
        for part_id in part_ids
    )


def _digest(part_id: bytes) -> bytes:
    return hashlib.blake2b(part_id, digest_size=16).hexdigest().encode()


def request_parts(fingerprint: bytes) -> Parts:
    """Return the parts that stand for a whole request, whatever its prompt.

    The fingerprint is the same for each repetition of the request and differs
    from those of other requests.
    """
    part = _REQUEST_MARK + fingerprint
    return (part, part)


def is_request(part: bytes) -> bool:
    """Return whether a part stands for a whole request."""
    return part.startswith(_REQUEST_MARK)


def name_of(part: bytes) -> bytes:
    """Return a prompt's part or a request's fingerprint, for logs."""
    return part.removeprefix(_REQUEST_MARK)


@attrs.frozen
class SuspectPrompt:
    """A prompt whose stream was lost with its engine."""

    #: The last part, which a retry of the same request shares.
    request_part: bytes
    #: The other parts.
    parts: tuple[bytes, ...]
    #: Whether the response had started.
    started: bool


@attrs.frozen
class EngineLoss:
    """The connection to an engine was lost while it generated a stream."""

    #: Identifies one run of the engine.
    process: str
    #: Failure domain of the engine.
    failure_domain: str
    prompt: SuspectPrompt
    #: When the request was sent to it, monotonic seconds.
    sent_s: float


@attrs.frozen
class LossReport:
    """What a gateway tells others of a lost engine."""

    #: Identifies one run of the engine.
    process: str
    #: Failure domain of the engine.
    failure_domain: str
    #: Time since the loss, in seconds.
    age_s: float
    prompts: tuple[SuspectPrompt, ...]
    #: Time since the newest of its requests was sent to it, in seconds;
    #: ``None`` if only prompts are told.
    sent_age_s: float | None = None


@attrs.frozen
class Quarantine:
    """Parts that are kept from engines where a prompt has all of them."""

    parts: frozenset[bytes]
    #: When it was decided, monotonic seconds.
    decided_s: float
    #: When it was decided or a request was last let through.
    renewed_s: float
    #: Crashes that made it so.
    crashes: int
    #: The engines that crashed.
    engines: tuple[str, ...]

    @property
    def of_request(self) -> bool:
        """Return whether it keeps one request from endpoints."""
        return any(map(is_request, self.parts))


@attrs.frozen
class QuarantineReport:
    """What a gateway tells others of a quarantine."""

    parts: tuple[bytes, ...]
    #: Time since the decision, in seconds.
    age_s: float
    #: Time since a request was last let through, in seconds.
    renewed_age_s: float
    #: Crashes that made it so.
    crashes: int
    #: The engines that crashed.
    engines: tuple[str, ...]


@attrs.frozen
class News:
    """What a gateway tells others; each item may arrive more than once."""

    losses: tuple[LossReport, ...] = ()
    #: Parts of streams that engines completed.
    sound: tuple[bytes, ...] = ()
    #: Engine processes that responded after they had been reported as lost.
    alive: tuple[str, ...] = ()
    quarantines: tuple[QuarantineReport, ...] = ()

    @property
    def empty(self) -> bool:
        """Return whether there is nothing to tell."""
        return not (
            self.losses or self.sound or self.alive or self.quarantines
        )


class DecisionKind(enum.StrEnum):
    """What was decided about some parts."""

    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"
    ENDED = "ended"


@attrs.frozen
class Decision:
    """A decision, for the log."""

    kind: DecisionKind
    parts: tuple[bytes, ...]
    #: Crashes that support it.
    crashes: int
    #: The engines that crashed.
    engines: tuple[str, ...]
    #: Whether another gateway decided it.
    learned: bool = False

    @property
    def of_request(self) -> bool:
        """Return whether it concerns one request."""
        return any(map(is_request, self.parts))


class QuarantineSystem(typing.Protocol):
    """Finds parts whose generation crashes engines.

    Example::

        system = QUARANTINES.get("crash_counts")()
        system.observe_loss(loss, now_s)
        system.observe_sound(parts, now_s)
        for decision in system.run(now_s):
            ...  # log it
        if system.find(parts, now_s) is not None:
            ...  # refuse the request
    """

    def observe_loss(self, loss: EngineLoss, now_s: float) -> None:
        """Record that an engine was lost while it generated a stream."""

    def observe_sound(self, parts: Parts, now_s: float) -> None:
        """Record that an engine completed a stream, or well began it."""

    def observe_unproven_end(
        self, process: str, parts: Parts, now_s: float
    ) -> None:
        """Record that a stream ended as it does if its engine is lost."""

    def observe_response(
        self, process: str, sent_s: float, now_s: float
    ) -> None:
        """Record that an engine responded to a request sent at a time."""

    def observe_end(self, process: str, now_s: float) -> None:
        """Record that a run of an engine has ended and another one begun."""

    def run(self, now_s: float) -> list[Decision]:
        """Decide; return what was decided since the last run."""

    def find(self, parts: Parts, now_s: float) -> Quarantine | None:
        """Return the quarantine that keeps a prompt from engines."""

    def suspects(self, parts: Parts, now_s: float) -> bool:
        """Return whether a prompt must not be sent to a second engine."""

    def probe(self, quarantine: Quarantine, now_s: float) -> bool:
        """Return whether to let a request through; it is not due again."""

    def quarantines(self, now_s: float) -> tuple[Quarantine, ...]:
        """Return the quarantines in force."""

    def restore(self, quarantine: Quarantine, now_s: float) -> None:
        """Add a quarantine that was stored."""

    def news(self, gateways: int, now_s: float) -> News:
        """Return what is due to be told in a fleet of some gateways."""

    def summary(self, now_s: float) -> News:
        """Return all that a gateway which has just started has to know."""

    def learn(self, news: News, now_s: float) -> None:
        """Record what another gateway has told."""


#: Quarantine systems by their names in settings.
QUARANTINES: registry.Registry[
    collections.abc.Callable[[], QuarantineSystem]
] = registry.Registry("quarantine system")
