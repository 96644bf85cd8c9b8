"""Proves that a message comes from an entry of the same fleet."""

import hashlib
import hmac
import typing

import attrs

from .. import errors

#: Bytes of the proof in front of each message.
PROOF_BYTES = 16


@attrs.define(slots=False, eq=False)
class SealBroken(errors.BilberrydealError):
    """A message without a valid proof."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.BAD_REQUEST

    #: Length of the message.
    size_bytes: int


class Seal:
    """Adds and checks proofs made with the fleet's secret."""

    def __init__(self, secret: bytes) -> None:
        self._secret = hashlib.blake2b(secret).digest()

    def close(self, message: bytes) -> bytes:
        """Return a message with its proof."""
        return self._proof(message) + message

    def open(self, sealed: bytes) -> bytes:
        """Return the message, or raise :class:`SealBroken`."""
        proof = sealed[:PROOF_BYTES]
        message = sealed[PROOF_BYTES:]
        if not hmac.compare_digest(proof, self._proof(message)):
            raise SealBroken(size_bytes=len(sealed))
        return message

    def _proof(self, message: bytes) -> bytes:
        return hashlib.blake2b(
            message, key=self._secret, digest_size=PROOF_BYTES
        ).digest()
