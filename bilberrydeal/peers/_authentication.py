"""Authenticates messages between entries of the same fleet."""

import hashlib
import hmac
import typing

import attrs

from .. import errors

#: Size of the authentication code that precedes each message, in bytes.
MAC_BYTES = 16


@attrs.define(slots=False, eq=False)
class SealBroken(errors.BilberrydealError):
    """A message without a valid authentication code."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.BAD_REQUEST

    #: Size of the message with its code.
    size_bytes: int


class MessageAuthenticator:
    """Adds and verifies authentication codes, using the fleet's secret."""

    def __init__(self, secret: bytes) -> None:
        self._secret = hashlib.blake2b(secret).digest()

    def sign(self, message: bytes) -> bytes:
        """Return the message preceded by its authentication code."""
        return self._compute_mac(message) + message

    def verify(self, signed: bytes) -> bytes:
        """Verify and return the message, or raise :class:`SealBroken`."""
        mac = signed[:MAC_BYTES]
        message = signed[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._compute_mac(message)):
            raise SealBroken(size_bytes=len(signed))
        return message

    def _compute_mac(self, message: bytes) -> bytes:
        return hashlib.blake2b(
            message, key=self._secret, digest_size=MAC_BYTES
        ).digest()
