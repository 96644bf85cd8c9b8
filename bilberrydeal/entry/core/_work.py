"""One admitted request on its way to an endpoint."""

import math
import typing

import attrs

from ... import link
from ...systems import PendingRequest
from . import _bodies

#: Tokens that a call of a plain service counts for.
PLAIN_CALL_TOKENS = 1


@attrs.frozen
class PlainCall:
    """What a caller sends to a plain service."""

    method: str
    path: str
    content_type: str
    body: bytes


@attrs.frozen
class Work:
    """A request that was admitted; a key of a caller never gets here."""

    number: link.RequestNumber
    organisation: str
    weight: float
    route: str
    #: Model, or name of the plain service.
    service: str
    request_class: int
    #: When the caller stops waiting, monotonic.
    deadline_s: float
    idempotent: bool
    #: Key of the claim row, empty without one.
    claim: str = ""
    generation: _bodies.Generation | None = None
    #: Whether parts of the answer go to the caller as they come.
    streamed: bool = True
    plain: PlainCall | None = None
    traceparent: str = ""
    prompt_tokens: int = PLAIN_CALL_TOKENS
    blocks: tuple[int, ...] = ()
    #: Tokens that answers of the service generate of those asked for.
    output_share: float = 1.0

    @property
    def output_tokens(self) -> int:
        """Tokens to generate at most."""
        return self.generation.max_tokens if self.generation else 0

    @property
    def expected_output_tokens(self) -> int:
        """Tokens to generate, as expected."""
        return math.ceil(self.output_tokens * self.output_share)

    def pending(self, tried: frozenset[str]) -> PendingRequest:
        """Return the row that a router assigns."""
        return PendingRequest(
            request_id=str(self.number),
            organisation=self.organisation,
            service=self.service,
            request_class=self.request_class,
            prompt_tokens=self.prompt_tokens,
            output_tokens=self.expected_output_tokens,
            deadline_s=self.deadline_s,
            idempotent=self.idempotent,
            blocks=self.blocks,
            tried=tried,
        )

    def submit(self, now_s: float) -> link.Submit:
        """Return the message that hands this to an agent."""
        submit = link.Submit(
            number=self.number,
            organisation=self.organisation,
            route=self.route,
            model=self.service if self.generation else "",
            request_class=self.request_class,
            time_left_s=self.deadline_s - now_s,
            weight=self.weight,
            idempotent=self.idempotent,
            claim=self.claim,
            prompt_tokens=self.prompt_tokens,
            traceparent=self.traceparent,
        )
        if self.generation is not None:
            return attrs.evolve(
                submit,
                prompt=self.generation.prompt,
                max_tokens=self.generation.max_tokens,
                sampling=self.generation.sampling,
            )
        plain = typing.cast(PlainCall, self.plain)
        return attrs.evolve(
            submit,
            method=plain.method,
            path=plain.path,
            content_type=plain.content_type,
            body=plain.body,
        )
