"""State of one request, and the refusals that end it."""

import functools
import hashlib

import attrs

from ... import catalogue
from ... import errors
from ... import http1
from ...systems import placement
from . import _stream_origin

#: Retry-After of a request that no endpoint ran, in seconds.
FAILED_RETRY_S = 0.1
#: Size of the hash that tells requests apart, in bytes.
FINGERPRINT_BYTES = 12
#: Stands for a prompt that the caller did not describe.
NO_PROMPT = placement.Prompt((placement.PromptPart(b"", 1),), 1)


@attrs.frozen
class ConfigurationAge:
    """How recent a configuration was when it decided on a request."""

    #: Time since the store confirmed it as the newest, in seconds; ``None``
    #: if it never did.
    unconfirmed_s: float | None = None
    #: Time since the read under way was sent, in seconds; ``None`` without
    #: one.
    reading_s: float | None = None


@attrs.frozen
class AdmittedRequest:
    """A request that passed validation, with its route and deadline."""

    #: The request as the caller sent it.
    request: http1.Request
    #: Identifies this attempt of the caller.
    request_id: bytes
    route: catalogue.Route
    #: Service that the request goes to.
    service: str
    #: Organisation that pays, ``None`` on public routes.
    organisation: catalogue.Organisation | None
    #: Deadline of the whole response, monotonic seconds.
    deadline_s: float
    #: The prompt, ``None`` for plain services.
    prompt: placement.Prompt | None
    #: Id of the last event of the stream that the caller received.
    last_event: bytes
    #: Version of the configuration that it was admitted under.
    configuration_version: int
    #: How recent that was.
    configuration_age: ConfigurationAge = ConfigurationAge()
    #: Value of the caller's header with numbers of tokens.
    token_counts: bytes | None = None
    #: Id of the attempt that began the stream that this one resumes.
    resumed_id: bytes = b""

    @property
    def resumes_stream(self) -> bool:
        """Return whether it goes on with a stream that has begun."""
        return bool(self.last_event or self.resumed_id)

    @property
    def priority(self) -> int:
        """Return the priority of the request; 0 is the highest."""
        if self.organisation is None or self.organisation.priority is None:
            return self.route.priority
        return self.organisation.priority

    @functools.cached_property
    def fingerprint(self) -> bytes:
        """Return what all repetitions of the request have in common."""
        return self._digest(self.request.target)

    @functools.cached_property
    def path_fingerprint(self) -> bytes:
        """Return what its repetitions with another query have in common."""
        return self._digest(self.request.path)

    def _digest(self, target: bytes) -> bytes:
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        for field in (
            self.request.method,
            self.request.header(b"host") or b"",
            target,
            (self.organisation_name or "").encode(),
            self.request.body,
        ):
            digest.update(b"%d:" % len(field))
            digest.update(field)
        return digest.hexdigest().encode()

    @property
    def organisation_name(self) -> str | None:
        """Return the name of the organisation that pays."""
        return self.organisation.name if self.organisation else None


@attrs.frozen
class QuotaCharge:
    """What was taken from an organisation's quota for a request."""

    organisation: str
    #: Units of the quota.
    cost: float
    #: Gateway that granted it as the organisation's home; empty if this one
    #: did so without it.
    granted_by: str


@attrs.define
class SendRecord:
    """One send of a request to an endpoint, as logged."""

    #: ``serve``, or ``read`` for the prefill of a prompt.
    kind: str
    #: Id of the endpoint.
    endpoint: str
    #: Version of its software.
    software_version: str
    #: When it was sent, in milliseconds since the request began.
    at_ms: float
    #: Expected time to the first token, in milliseconds.
    expected_ms: float | None = None
    #: Expected time until prefill is finished, in milliseconds.
    expected_prefill_ms: float | None = None
    #: Engine from whose cache it fetches parts of the prompt first.
    fetch_from: str | None = None
    #: Prompt tokens that the engine was expected to prefill until then, with
    #: those queued before.
    work_tokens: int | None = None
    #: Time from the send to the end of the prefill, in milliseconds; ``None``
    #: unless another engine decodes.
    prefill_ms: float | None = None
    #: Time in the queue for this host's uplink, in milliseconds; ``None``
    #: while it is queued.
    link_wait_ms: float | None = None
    #: When the first event arrived, in milliseconds since the request
    #: began; ``None`` if none did.
    first_ms: float | None = None
    #: Whether it queues behind requests that can still meet their target.
    deferred: bool = False
    #: How it ended.
    outcome: str = "under way"


@attrs.define
class RequestProgress:
    """Progress of a request over all its sends."""

    #: Its sends in order.
    sends: list[SendRecord] = attrs.field(factory=list)

    #: Endpoints that it was sent to.
    tried: list[str] = attrs.field(factory=list)
    #: W3C trace context of the request, empty without a trace.
    traceparent: str = ""
    #: Whether any send of it reached an endpoint.
    sent: bool = False
    #: Whether it was sent to be run; the first such send is not charged.
    run_sent: bool = False
    #: Whether a prefill was sent that is not charged unless it fails.
    prefill_sent: bool = False
    #: Whether a prefill of its prompt succeeded.
    prefill_recorded: bool = False
    #: Sends that are reserved for it in the retry budget.
    reserved_sends: int = 0
    #: Prefills without a result.
    lost_prefills: int = 0
    #: Sends that count against the route's limit.
    attempts: int = 0
    #: Whether an endpoint may have run it, or may still run it.
    may_have_run: bool = False
    #: Whether it was let through in spite of its quarantined parts.
    probes_quarantine: bool = False
    #: Whether it was counted for billing.
    usage_counted: bool = False
    #: What it cost of a quota; ``None`` without one and once given back.
    quota_charge: QuotaCharge | None = None
    #: Id of the last event sent to the caller.
    last_event: bytes = b""
    #: What began its stream; ``None`` until an event was sent.
    origin: _stream_origin.StreamOrigin | None = None


def not_run_refusal(
    reason: errors.ErrorCode, message: str, retry_after_s: float
) -> errors.Refusal:
    """Return the refusal of a request that certainly did not run."""
    return errors.Refusal(
        reason=reason,
        message=message,
        status=503,
        retry_after_s=retry_after_s,
    )


def failure_refusal(progress: RequestProgress, message: str) -> errors.Refusal:
    """Return the refusal of a request that cannot be completed."""
    if not progress.may_have_run:
        return not_run_refusal(
            errors.ErrorCode.NO_ENDPOINT, message, FAILED_RETRY_S
        )
    return errors.Refusal(
        reason=errors.ErrorCode.ENDPOINT_FAILED,
        message=message,
        status=502,
        executed=errors.Executed.UNKNOWN,
    )
