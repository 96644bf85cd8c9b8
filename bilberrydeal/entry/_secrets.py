"""Secrets, read once from the files that settings name."""

import pathlib

import attrs

from .. import settings


@attrs.frozen
class Secrets:
    """Content of the secret files; never logged."""

    #: Key of the hash of callers' keys.
    pepper: bytes = attrs.field(repr=False)
    #: Hash of the operators' key, hexadecimal.
    operator_key_hash: str = attrs.field(repr=False)
    #: Secret that entries prove to each other.
    peer: bytes = attrs.field(repr=False)


def read(chosen: settings.SecretSettings) -> Secrets:
    """Return the secrets, or raise ``SettingsInvalid`` naming the field."""
    return Secrets(
        pepper=_content("key_hash_file", chosen.key_hash_file),
        operator_key_hash=_content(
            "operator_key_hash_file", chosen.operator_key_hash_file
        ).decode("ascii", "replace"),
        peer=_content("peer_file", chosen.peer_file),
    )


def _content(field: str, name: str) -> bytes:
    try:
        content = pathlib.Path(name).read_bytes().strip()
    except OSError:
        content = b""
    if not content:
        problem = settings.Problem(
            path=f"secrets.{field}",
            given=name,
            allowed="a file that can be read and is not empty",
        )
        raise settings.SettingsInvalid(problems=(problem,))
    return content
