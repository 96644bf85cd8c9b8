"""Changes as JSON: the name of the kind and the fields."""

import attrs
import msgspec

from .. import store
from . import _changes


@attrs.frozen
class Envelope:
    """A change with the name that it is registered under."""

    #: Name in the registry of changes.
    kind: str
    #: The change as JSON.
    body: msgspec.Raw


def encode_change(change: _changes.Change) -> bytes:
    """Return a change as JSON."""
    return store.encode(envelope(change))


def decode_change(data: bytes) -> _changes.Change:
    """Return the change in a JSON text, or raise ``store.RowInvalid``."""
    return opened(store.decode(data, Envelope))


def envelope(change: _changes.Change) -> Envelope:
    """Return a change ready to be encoded within another value."""
    kind = next(
        name
        for name in _changes.CHANGES.names()
        if _changes.CHANGES.get(name) is type(change)
    )
    return Envelope(kind=kind, body=msgspec.Raw(store.encode(change)))


def opened(found: Envelope) -> _changes.Change:
    """Return the change in an envelope."""
    return store.decode(bytes(found.body), _changes.CHANGES.get(found.kind))
