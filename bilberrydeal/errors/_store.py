"""Failures of the platform's table service and object store."""

import typing

import attrs

from . import _base
from . import _codes


@attrs.define(slots=False, eq=False)
class StoreUnavailable(_base.BilberrydealError):
    """The call certainly had no effect: it was refused or never sent."""

    code: typing.ClassVar[_codes.ErrorCode] = (
        _codes.ErrorCode.STORE_UNAVAILABLE
    )

    #: What was tried.
    operation: str
    #: When the store asks to be called again, in seconds.
    retry_after_s: float | None = None


@attrs.define(slots=False, eq=False)
class OutcomeUnknown(_base.BilberrydealError):
    """The call may have taken effect; read back to find out."""

    code: typing.ClassVar[_codes.ErrorCode] = (
        _codes.ErrorCode.STORE_OUTCOME_UNKNOWN
    )

    #: What was tried.
    operation: str


@attrs.define(slots=False, eq=False)
class TableConflict(_base.BilberrydealError):
    """A transaction's check failed; nothing was written."""

    code: typing.ClassVar[_codes.ErrorCode] = _codes.ErrorCode.STORE_CONFLICT

    #: Table of the first check that failed.
    table: str
    #: Key of the first check that failed.
    key: str
    #: Version found there, 0 for an absent row.
    found_version: int
    #: Whether an earlier copy got no answer, and that it had no effect was
    #: read from rows. It holds unless those were removed meanwhile.
    doubted: bool = False


@attrs.define(slots=False, eq=False)
class HistoryGone(_base.BilberrydealError):
    """The feed cannot go on from that version; read the table anew."""

    code: typing.ClassVar[_codes.ErrorCode] = (
        _codes.ErrorCode.STORE_HISTORY_GONE
    )
