"""Authenticates callers by their API keys."""

import collections.abc

from .. import configuration
from .. import errors
from . import _hashing

#: Longer keys are rejected without hashing, in characters.
MAX_KEY_LENGTH = 256

Current = collections.abc.Callable[[], configuration.Configuration]


class KeyDirectory:
    """Looks up callers' keys in the current configuration.

    Example::

        directory = KeyDirectory(lambda: follower.current, pepper)
        directory.authenticate("Bearer bdk_...").organisation
    """

    def __init__(self, current: Current, pepper: bytes) -> None:
        self._current = current
        self._pepper = pepper

    def authenticate(
        self, authorization: str | None
    ) -> configuration.KeyRecord:
        """Return the record of a caller's key, or raise a 401 ``Refusal``.

        Keys of disabled organisations are rejected as well.
        """
        scheme, _, secret = (authorization or "").strip().partition(" ")
        secret = secret.strip()
        if scheme.lower() != "bearer" or not secret:
            raise _refusal(
                errors.ErrorCode.KEY_MISSING, "Send a key as a bearer token."
            )
        current = self._current()
        record = None
        if len(secret) <= MAX_KEY_LENGTH:
            hashed = _hashing.hash_key(secret, self._pepper)
            record = current.keys.get(hashed)
        if record is None:
            raise _refusal(
                errors.ErrorCode.KEY_REJECTED, "This key is not known."
            )
        if record.withdrawn:
            raise _refusal(
                errors.ErrorCode.KEY_WITHDRAWN, "This key was withdrawn."
            )
        organisation = current.organisations.get(record.organisation)
        if organisation is None or not organisation.enabled:
            raise _refusal(
                errors.ErrorCode.KEY_REJECTED,
                "The organisation of this key is not enabled.",
            )
        return record


def _refusal(reason: errors.ErrorCode, message: str) -> errors.Refusal:
    return errors.Refusal(reason=reason, message=message, status=401)
