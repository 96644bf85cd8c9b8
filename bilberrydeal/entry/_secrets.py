"""Reads secrets from the files named in the settings."""

import pathlib

import attrs

from .. import settings


@attrs.frozen
class Secrets:
    """Contents of the secret files; never logged."""

    #: Key for hashing callers' keys.
    pepper: bytes = attrs.field(repr=False)
    #: Hexadecimal hash of the operator key.
    operator_key_hash: str = attrs.field(repr=False)
    #: Secret with which entries authenticate to each other.
    peer: bytes = attrs.field(repr=False)


def read(secret_settings: settings.SecretSettings) -> Secrets:
    """Return the secrets, or raise ``SettingsInvalid`` naming the field."""
    return Secrets(
        pepper=_content("key_hash_file", secret_settings.key_hash_file),
        operator_key_hash=_content(
            "operator_key_hash_file", secret_settings.operator_key_hash_file
        ).decode("ascii", "replace"),
        peer=_content("peer_file", secret_settings.peer_file),
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
