"""Rows of the claims table."""

import enum
import hashlib

import attrs

from .. import link
from .. import ports

#: The table.
TABLE = "claims"


class ClaimState(enum.StrEnum):
    """How far a claimed request has come."""

    #: It may run or be about to.
    CLAIMED = "claimed"
    #: It ran; the answer is kept.
    DONE = "done"
    #: Whether it ran cannot be found out.
    UNKNOWN = "unknown"


@attrs.frozen
class Dispatch:
    """Where a claimed request was handed to, or is about to be.

    It may be handed to this incarnation of the agent only, under this
    number only.
    """

    #: Number of the request.
    number: link.RequestNumber
    #: The endpoint.
    endpoint_id: str
    #: Incarnation of the endpoint's agent.
    agent: str


@attrs.frozen
class Answer:
    """An answer as the caller got it."""

    #: HTTP status.
    status: int
    #: Content type of the body.
    content_type: str
    #: The body; empty where it lies in the object store.
    body: bytes = b""
    #: Name of the body in the object store, empty where it is inline.
    stored_as: str = ""


@attrs.frozen
class ClaimRow:
    """Content of one row."""

    #: Digest of the request's body and target.
    digest: str
    #: How far it has come.
    state: ClaimState
    #: The newest dispatch; all before it were proved not to have started.
    dispatch: Dispatch
    #: Dispatches that came before.
    moves: int
    #: When it was first claimed, seconds since the epoch.
    created_s: float
    #: When a claim that is done or unknown may be forgotten.
    expires_s: float
    #: Marks the write that set the row.
    nonce: str
    #: The answer, once it is done.
    answer: Answer | None = None


@attrs.frozen
class Claim:
    """A row as this process last read or wrote it."""

    #: Where it lies.
    key: ports.RowKey
    #: Its version.
    version: int
    #: Its content.
    row: ClaimRow


def claim_key(organisation: str, key: str) -> ports.RowKey:
    """Return where the claim of an organisation's idempotency key lies."""
    hashed = hashlib.sha256(key.encode()).hexdigest()
    return ports.RowKey(TABLE, f"{organisation}/{hashed}")


def digest_body(method: str, path: str, body: bytes) -> str:
    """Return the digest by which a repeated request is recognised."""
    target = f"{method} {path}\n".encode()
    return hashlib.sha256(target + body).hexdigest()
