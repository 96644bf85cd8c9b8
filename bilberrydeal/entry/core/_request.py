"""Admitted requests."""

import math
import typing

import attrs

from ... import link
from ...systems import PendingRequest
from . import _bodies

#: Tokens that a call of a plain service counts as.
PLAIN_CALL_TOKENS = 1


@attrs.frozen
class PlainCall:
    """A call of a plain service."""

    method: str
    path: str
    content_type: str
    body: bytes


@attrs.frozen
class AdmittedRequest:
    """An admitted request; it never contains the caller's key."""

    number: link.RequestNumber
    organisation: str
    weight: float
    route: str
    #: Name of the model or the plain service.
    service: str
    request_class: int
    #: When the caller stops waiting, monotonic.
    deadline_s: float
    idempotent: bool
    #: Key of the claim row, empty for a request without a claim.
    idempotency_key: str = ""
    generation: _bodies.Generation | None = None
    #: Whether the answer is streamed to the caller.
    streamed: bool = True
    plain: PlainCall | None = None
    traceparent: str = ""
    prompt_tokens: int = PLAIN_CALL_TOKENS
    blocks: tuple[int, ...] = ()
    #: Average share of the output limit that the service generates.
    output_share: float = 1.0

    @property
    def output_tokens(self) -> int:
        """Maximum number of tokens to generate."""
        return self.generation.max_tokens if self.generation else 0

    @property
    def expected_output_tokens(self) -> int:
        """Expected number of tokens to generate."""
        return math.ceil(self.output_tokens * self.output_share)

    def pending_request(self, tried: frozenset[str]) -> PendingRequest:
        """Return the row to which a router assigns an endpoint."""
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
            tried_endpoint_ids=tried,
        )

    def submit_message(self, now_s: float) -> link.Submit:
        """Return the message that submits this request to an agent."""
        submit = link.Submit(
            number=self.number,
            organisation=self.organisation,
            route=self.route,
            model=self.service if self.generation else "",
            request_class=self.request_class,
            time_left_s=self.deadline_s - now_s,
            weight=self.weight,
            idempotent=self.idempotent,
            claim=self.idempotency_key,
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
