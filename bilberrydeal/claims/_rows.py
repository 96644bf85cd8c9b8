"""Row types and keys of the claims table."""

import enum
import hashlib

import attrs

from .. import link
from .. import ports

#: Name of the table.
TABLE = "claims"


class ClaimState(enum.StrEnum):
    """Progress of a claimed request."""

    #: It may be running or about to run.
    CLAIMED = "claimed"
    #: It ran; the answer is stored.
    DONE = "done"
    #: Whether it ran cannot be determined.
    UNKNOWN = "unknown"


@attrs.frozen
class Dispatch:
    """Agent to which a claimed request was or will be sent.

    The request may be sent only to this incarnation of the agent and only
    under this number.
    """

    #: Number of the request.
    number: link.RequestNumber
    #: The endpoint.
    endpoint_id: str
    #: Incarnation of the endpoint's agent.
    agent: str


@attrs.frozen
class Answer:
    """An answer as sent to the caller."""

    #: HTTP status.
    status: int
    #: Content type of the body.
    content_type: str
    #: The body, empty if it is in the object store.
    body: bytes = b""
    #: Name of the body in the object store, empty if it is inline.
    stored_as: str = ""


@attrs.frozen
class ClaimRow:
    """Content of one claim row."""

    #: Digest of the request's body and target.
    digest: str
    #: Progress of the request.
    state: ClaimState
    #: The latest dispatch; all earlier ones are proven not to have started.
    dispatch: Dispatch
    #: Number of earlier dispatches.
    moves: int
    #: Time of the first claim, in seconds since the epoch.
    created_s: float
    #: When a claim that is done or unknown may be removed, in seconds since
    #: the epoch.
    expires_s: float
    #: Identifies the write that produced the row.
    nonce: str
    #: The answer, once the request is done.
    answer: Answer | None = None


@attrs.frozen
class Claim:
    """A claim row as last read or written by this process."""

    #: Key of the row.
    key: ports.RowKey
    #: Version of the row.
    version: int
    #: Content of the row.
    row: ClaimRow


def claim_key(organisation: str, key: str) -> ports.RowKey:
    """Return the row key of an organisation's idempotency key."""
    hashed = hashlib.sha256(key.encode()).hexdigest()
    return ports.RowKey(TABLE, f"{organisation}/{hashed}")


def digest_body(method: str, path: str, body: bytes) -> str:
    """Return the digest that identifies repetitions of a request."""
    target = f"{method} {path}\n".encode()
    return hashlib.sha256(target + body).hexdigest()
