"""Header fields as pairs of bytes, names in lower case."""

import abc
import collections.abc

Header = tuple[bytes, bytes]
Headers = collections.abc.Sequence[Header]

#: Header fields that apply to a single connection.
HOP_BY_HOP = frozenset(
    [
        b"connection",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    ]
)
_LENGTH = b"content-length"
_CONNECTION = b"connection"


class IndexedFields(collections.abc.Sequence[Header]):
    """Fields that are found by name without a pass over all of them."""

    @abc.abstractmethod
    def first_value(self, name: bytes) -> bytes | None:
        """Return the value of the first field of that name."""

    @abc.abstractmethod
    def count_name(self, name: bytes) -> int:
        """Return how many fields have that name."""


def first_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first field of that name."""
    if type(headers) is not tuple and isinstance(headers, IndexedFields):
        return headers.first_value(name)
    for found, value in headers:
        if found == name:
            return value
    return None


def count_name(headers: Headers, name: bytes) -> int:
    """Return how many fields have that name."""
    if type(headers) is not tuple and isinstance(headers, IndexedFields):
        return headers.count_name(name)
    return sum(found == name for found, _value in headers)


def end_to_end_headers(
    headers: Headers, protected: frozenset[bytes] = frozenset()
) -> list[Header]:
    """Return the fields to forward to the next hop, without the length.

    ``Connection`` may list further fields to remove. Fields in ``protected``
    are forwarded even so, because the next hop depends on them.
    """
    listed: set[bytes] = set()
    for name, value in headers:
        if name == _CONNECTION:
            listed.update(word.strip().lower() for word in value.split(b","))
    listed -= protected
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and name != _LENGTH and name not in listed
    ]


def render_head(start_line: bytes, headers: Headers) -> bytes:
    """Return the serialised head of a message."""
    lines = [start_line]
    lines.extend(name + b": " + value for name, value in headers)
    lines.append(b"\r\n")
    return b"\r\n".join(lines)
