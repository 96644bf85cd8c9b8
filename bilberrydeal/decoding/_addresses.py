"""Socket addresses."""

import ipaddress

#: Greatest port number.
PORT_LIMIT = 65_535


class AddressInvalid(ValueError):
    """A text that is no IP address with a port."""


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of a socket address.

    Raises :class:`AddressInvalid`, since a host name or a port out of range
    raises various errors only where it is used.

    Example::

        >>> split_address("10.0.0.1:80")
        ('10.0.0.1', 80)
    """
    host, _colon, port = address.rpartition(":")
    if not port.isascii() or not port.isdecimal() or len(port) > 5:
        raise AddressInvalid(f"port {port[:20]!r}")
    if int(port) > PORT_LIMIT:
        raise AddressInvalid(f"port {port}")
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise AddressInvalid(f"host {host[:40]!r}") from error
    return host, int(port)
