"""Generates API keys and the hashes that are stored for them."""

import hashlib
import secrets

import attrs

#: Prefix of every key, by which secret scanners find leaked keys.
KEY_PREFIX = "bdk_"
#: Random bytes in a key.
SECRET_BYTES = 24
#: Random bytes in the public identifier of a key.
ID_BYTES = 6
#: Digest size, in bytes.
HASH_BYTES = 32
#: Maximum key length of BLAKE2b, in bytes; longer peppers are truncated.
MAX_PEPPER_BYTES = 64


@attrs.frozen
class NewKey:
    """A new key, shown to the operator only once."""

    #: Public identifier.
    key_id: str
    #: Bearer token that callers send; never stored or logged.
    secret: str = attrs.field(repr=False)


def new_key() -> NewKey:
    """Return a new random key."""
    return NewKey(
        key_id=secrets.token_hex(ID_BYTES),
        secret=KEY_PREFIX + secrets.token_urlsafe(SECRET_BYTES),
    )


def hash_key(secret: str, pepper: bytes) -> str:
    """Return the keyed hash of a secret in hexadecimal.

    Example::

        record = KeyRecord("k1", "russo", hash_key(key.secret, pepper))
    """
    return hashlib.blake2b(
        secret.encode(errors="surrogatepass"),
        digest_size=HASH_BYTES,
        key=pepper[:MAX_PEPPER_BYTES],
    ).hexdigest()
