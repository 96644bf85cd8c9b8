"""Errors of the platform's table service and object store."""

import typing

import attrs

from . import _base
from . import _codes


@attrs.define(slots=False, eq=False)
class StoreUnavailable(_base.BilberrydealError):
    """The call had no effect: it was refused or never sent."""

    code: typing.ClassVar[_codes.ErrorCode] = (
        _codes.ErrorCode.STORE_UNAVAILABLE
    )

    #: The attempted operation.
    operation: str
    #: Delay that the store requests before a retry, in seconds.
    retry_after_s: float | None = None


@attrs.define(slots=False, eq=False)
class OutcomeUnknown(_base.BilberrydealError):
    """The call may have taken effect; a read is needed to find out."""

    code: typing.ClassVar[_codes.ErrorCode] = (
        _codes.ErrorCode.STORE_OUTCOME_UNKNOWN
    )

    #: The attempted operation.
    operation: str


@attrs.define(slots=False, eq=False)
class TableConflict(_base.BilberrydealError):
    """A version check of a transaction failed; nothing was written."""

    code: typing.ClassVar[_codes.ErrorCode] = _codes.ErrorCode.STORE_CONFLICT

    #: Table of the first check that failed.
    table: str
    #: Key of the first check that failed.
    key: str
    #: Version found there; 0 if the row is absent.
    found_version: int
    #: Whether an earlier attempt got no response and its lack of effect was
    #: inferred from rows. The inference is wrong if those rows were removed
    #: in the meantime.
    outcome_inferred: bool = False


@attrs.define(slots=False, eq=False)
class HistoryGone(_base.BilberrydealError):
    """The feed no longer covers that version; the table must be reread."""

    code: typing.ClassVar[_codes.ErrorCode] = (
        _codes.ErrorCode.STORE_HISTORY_GONE
    )
