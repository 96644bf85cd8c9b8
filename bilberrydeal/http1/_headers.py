"""Header fields as pairs of bytes, names in lower case."""

import collections.abc

Header = tuple[bytes, bytes]
Headers = collections.abc.Sequence[Header]

#: Fields that concern one connection only.
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


def first(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first field of that name."""
    for found, value in headers:
        if found == name:
            return value
    return None


def end_to_end(
    headers: Headers, kept: frozenset[bytes] = frozenset()
) -> list[Header]:
    """Return the fields that pass on to the next hop, without a length.

    ``Connection`` may name further fields to leave out; those in ``kept``
    pass on all the same, so that nobody strips what the next hop needs.
    """
    named: set[bytes] = set()
    for name, value in headers:
        if name == _CONNECTION:
            named.update(word.strip().lower() for word in value.split(b","))
    named -= kept
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and name != _LENGTH and name not in named
    ]


def render_head(start_line: bytes, headers: Headers) -> bytes:
    """Return the head of a message as it is sent."""
    lines = [start_line]
    lines.extend(name + b": " + value for name, value in headers)
    lines.append(b"\r\n")
    return b"\r\n".join(lines)
