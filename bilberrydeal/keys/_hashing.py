"""Makes keys and the hashes under which they are stored."""

import hashlib
import secrets

import attrs

#: Begins every key, so that leaked ones are found by scanners.
PREFIX = "bdk_"
#: Random bytes in a key.
SECRET_BYTES = 24
#: Random bytes in the public name of a key.
ID_BYTES = 6
#: Bytes of a hash.
HASH_BYTES = 32
#: Longest key of the hash function, in bytes.
PEPPER_LONGEST_BYTES = 64


@attrs.frozen
class NewKey:
    """A key as it is shown to the operator, once."""

    #: Public name.
    key_id: str
    #: What callers send; never stored or logged.
    secret: str = attrs.field(repr=False)


def new_key() -> NewKey:
    """Return a new random key."""
    return NewKey(
        key_id=secrets.token_hex(ID_BYTES),
        secret=PREFIX + secrets.token_urlsafe(SECRET_BYTES),
    )


def hash_key(secret: str, pepper: bytes) -> str:
    """Return the keyed hash of a secret, hexadecimal.

    Example::

        record = KeyRecord("k1", "russo", hash_key(key.secret, pepper))
    """
    return hashlib.blake2b(
        secret.encode(errors="surrogatepass"),
        digest_size=HASH_BYTES,
        key=pepper[:PEPPER_LONGEST_BYTES],
    ).hexdigest()
