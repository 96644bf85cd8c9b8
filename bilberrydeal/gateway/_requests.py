"""One request on its way, and how it ends."""

import attrs

from .. import catalogue
from .. import errors
from .. import http1
from ..systems import placement

#: When a caller returns whose request found no endpoint, in seconds.
FAILED_RETRY_S = 0.1


@attrs.frozen
class AdmittedRequest:
    """A request that was found proper."""

    #: The request as the caller sent it.
    request: http1.Request
    #: Names this try of the caller.
    request_id: bytes
    route: catalogue.Route
    #: Service that the request goes to.
    service: str
    #: Organisation that pays, ``None`` on public routes.
    organisation: catalogue.Organisation | None
    #: When the caller must have the whole answer, monotonic seconds.
    deadline_s: float
    #: The prompt, ``None`` for plain services.
    prompt: placement.Prompt | None
    #: Last event that the caller has of the stream.
    last_event: bytes
    #: Version of the configuration that allowed it.
    configuration_version: int

    @property
    def rank(self) -> int:
        """Return how urgent the request is, 0 is first."""
        if self.organisation is None or self.organisation.priority is None:
            return self.route.priority
        return self.organisation.priority

    @property
    def organisation_name(self) -> str | None:
        """Return the name of the organisation that pays."""
        return self.organisation.name if self.organisation else None


@attrs.define
class SendRecord:
    """One send of a request, as logs tell it."""

    #: What the endpoint is asked for: ``serve`` or ``read`` (the prompt).
    kind: str
    #: The endpoint.
    endpoint: str
    #: When it was sent, in milliseconds since the request began.
    at_ms: float
    #: Time to the first of the answer, as expected, in milliseconds.
    expected_ms: float | None = None
    #: Time that it waited for this host's own link, in milliseconds;
    #: ``None`` while it waits.
    link_wait_ms: float | None = None
    #: When the first event came, in milliseconds since the request began;
    #: ``None`` where none did.
    first_ms: float | None = None
    #: Whether it waits there behind requests that can be in time.
    deferred: bool = False
    #: How it ended.
    outcome: str = "under way"


@attrs.define
class RequestProgress:
    """What happened to a request so far."""

    #: Its sends in their order.
    sends: list[SendRecord] = attrs.field(factory=list)

    #: Endpoints that it was sent to.
    tried: list[str] = attrs.field(factory=list)
    #: W3C trace context of the request, empty without a trace.
    traceparent: str = ""
    #: Sends that count against the service's budget.
    budgeted_sends: int = 0
    #: Whether an engine has read the prompt for another.
    prefill_noted: bool = False
    #: Sends that count against the route's limit.
    attempts: int = 0
    #: Whether an endpoint may have begun to run it, or may begin to.
    may_have_run: bool = False
    #: Whether it was counted as begun.
    usage_counted: bool = False
    #: Last event that was passed on.
    last_event: bytes = b""


def not_run_refusal(
    reason: errors.ErrorCode, sentence: str, retry_after_s: float
) -> errors.Refusal:
    """Return the refusal of a request that surely did not run."""
    return errors.Refusal(
        reason=reason,
        sentence=sentence,
        status=503,
        retry_after_s=retry_after_s,
    )


def failure_refusal(
    progress: RequestProgress, sentence: str
) -> errors.Refusal:
    """Return the refusal of a request that cannot be brought to an end."""
    if not progress.may_have_run:
        return not_run_refusal(
            errors.ErrorCode.NO_ENDPOINT, sentence, FAILED_RETRY_S
        )
    return errors.Refusal(
        reason=errors.ErrorCode.ENDPOINT_FAILED,
        sentence=sentence,
        status=502,
        executed=errors.Executed.UNKNOWN,
    )
