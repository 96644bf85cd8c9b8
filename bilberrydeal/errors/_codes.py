"""Stable error codes, and whether a refused request was executed."""

import enum


class Executed(enum.StrEnum):
    """Whether a refused request may have been executed."""

    #: Proven: no endpoint ran any part of the request.
    NO = "no"
    #: The request may have run; the caller decides whether to retry.
    UNKNOWN = "unknown"


class ErrorCode(enum.StrEnum):
    """Stable codes for callers, operators and logs."""

    INTERNAL = "internal"
    # Errors in the request.
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TOO_SLOW = "body_too_slow"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_MODEL = "unknown_model"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    KEY_MISSING = "key_missing"
    KEY_REJECTED = "key_rejected"
    KEY_WITHDRAWN = "key_withdrawn"
    IDEMPOTENCY_MISMATCH = "idempotency_mismatch"
    IDEMPOTENCY_IN_PROGRESS = "idempotency_in_progress"
    IDEMPOTENCY_UNKNOWN = "idempotency_unknown"
    # Limits, load and state of the service.
    LIMIT_REACHED = "limit_reached"
    OVERLOADED = "overloaded"
    DEADLINE_HOPELESS = "deadline_hopeless"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_ENDPOINT = "no_endpoint"
    ENDPOINT_LEAVING = "endpoint_leaving"
    ENDPOINT_FAILED = "endpoint_failed"
    PROMPT_QUARANTINED = "prompt_quarantined"
    REQUEST_QUARANTINED = "request_quarantined"
    STREAM_ORIGIN_UNKNOWN = "stream_origin_unknown"
    STREAM_ORIGIN_ABSENT = "stream_origin_absent"
    SHUTTING_DOWN = "shutting_down"
    KEYS_STALE = "keys_stale"
    CONFIGURATION_OUTDATED = "configuration_outdated"
    CANCELLED = "cancelled"
    # Platform errors.
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_CONFLICT = "store_conflict"
    STORE_OUTCOME_UNKNOWN = "store_outcome_unknown"
    STORE_HISTORY_GONE = "store_history_gone"
    PLATFORM_REFUSED = "platform_refused"
    # Leases and fencing.
    LEASE_LOST = "lease_lost"
    FENCED = "fenced"
    # Operator requests and settings.
    REVISION_CONFLICT = "revision_conflict"
    OPERATOR_KEY_REJECTED = "operator_key_rejected"
    SETTINGS_INVALID = "settings_invalid"
    NOT_FOUND = "not_found"
