"""Encodes changes as JSON objects with a kind and a body."""

import attrs
import msgspec

from .. import store
from . import _changes


@attrs.frozen
class Envelope:
    """An encoded change with the name of its type."""

    #: Name in the registry of changes.
    kind: str
    #: Fields of the change as JSON.
    body: msgspec.Raw


def encode_change(change: _changes.Change) -> bytes:
    """Return a change as JSON."""
    return store.encode(envelope(change))


def decode_change(data: bytes) -> _changes.Change:
    """Decode a change from JSON, or raise ``store.RowInvalid``."""
    return unwrap(store.decode(data, Envelope))


def envelope(change: _changes.Change) -> Envelope:
    """Wrap a change so that it can be encoded as part of another value."""
    kind = next(
        name
        for name in _changes.CHANGES.names()
        if _changes.CHANGES.get(name) is type(change)
    )
    return Envelope(kind=kind, body=msgspec.Raw(store.encode(change)))


def unwrap(wrapped: Envelope) -> _changes.Change:
    """Return the change in an envelope."""
    return store.decode(
        bytes(wrapped.body), _changes.CHANGES.get(wrapped.kind)
    )
