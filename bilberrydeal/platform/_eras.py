"""Era of the store, from the header of its responses."""

import attrs

from .. import telemetry

LOG = telemetry.logger("store")
#: Most digits of an era.
DIGITS_LIMIT = 15


class LateResponse(Exception):
    """A response is of an era that was over when it arrived."""


@attrs.frozen
class CallStart:
    """What was known of the store when a call was made."""

    #: Number of changes of the era noticed until then.
    changes: int


class EraTracker:
    """Keeps the era of the store and logs its changes.

    An era other than the last one is a change, also if it is lower. But an
    older era in the response to a call that was made before the latest change
    was noticed only shows that the response is late.

    Example::

        start = eras.start_call()
        era = eras.note(b"4", 1207, start)
    """

    def __init__(self) -> None:
        #: The last era, ``None`` while the store has told none.
        self.current: int | None = None
        #: Latest version of the store in a response.
        self.version: int | None = None
        self._changes = 0

    def start_call(self) -> CallStart:
        """Return what :meth:`note` has to know of a call."""
        return CallStart(self._changes)

    def note(
        self, value: bytes | None, version: int | None, start: CallStart
    ) -> int | None:
        """Record a response; return its era.

        ``value`` is the header, ``version`` the version of the store. Raises
        :class:`LateResponse` if the era was over.
        """
        era = _decode(value)
        if era is None or era == self.current:
            self._note_version(version)
            return self.current
        if (
            self.current is not None
            and era < self.current
            and start.changes != self._changes
        ):
            raise LateResponse(f"era {era}, present {self.current}")
        self._change(era, version)
        return era

    def _change(self, era: int, version: int | None) -> None:
        log = LOG.info
        if self.current is not None and era < self.current:
            log = LOG.warning
        log(
            "Store era changed.",
            era=era,
            era_before=self.current,
            version=version,
            version_before=self.version,
        )
        self._changes += 1
        self.current = era
        self.version = version

    def _note_version(self, version: int | None) -> None:
        if version is not None:
            self.version = version


def _decode(value: bytes | None) -> int | None:
    """Return the era, ``None`` if it is absent or no number."""
    if value is None or not value.isdigit():
        return None
    if len(value) > DIGITS_LIMIT:
        LOG.warning("Store era not understood.", value=value[:40])
        return None
    return int(value)
