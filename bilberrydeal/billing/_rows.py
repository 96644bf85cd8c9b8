"""Rows of usage, recorders, seals and reports."""

import collections.abc
import enum

import attrs

from .. import ports
from . import _positions

#: Holds figures by window and recorder.
USAGE = "usage"
#: Holds one row a recorder.
RECORDERS = "recorders"
#: Holds the sealed figures by window.
SEALS = "seals"
#: Holds what became of each window's reports.
REPORTS = "reports"
#: Changes whenever a recorder opens, so that sealing sees it.
OPENINGS = ports.RowKey("billing", "openings")
#: Names the newest sealed window.
SEALED = ports.RowKey("billing", "sealed")
#: Names the newest reported window.
REPORTED = ports.RowKey("billing", "reported")

#: No positions.
EMPTY = _positions.PositionSet()

Figures = collections.abc.Mapping[str, ports.OrganisationFigures]


class RecorderState(enum.StrEnum):
    """Whether a recorder still counts."""

    OPEN = "open"
    CLOSED = "closed"


@attrs.frozen
class RecorderRow:
    """What one recorder has counted, as far as repeats must be told."""

    #: Whether it still counts; closing is final.
    state: RecorderState
    #: It writes no figures of this window or an earlier one any more.
    passed: int
    #: Records settled of requests that its entry took, by incarnation of
    #: the agent, whoever counted them.
    settled: collections.abc.Mapping[str, _positions.PositionSet] = {}
    #: Sequences of its entry's requests that the entry billed itself.
    self_billed: tuple[int, ...] = ()
    #: Marks the write that set the row.
    nonce: str = ""
    #: When it was closed, seconds since the epoch; 0 while it is open.
    closed_at_s: float = 0.0


@attrs.frozen
class Adjustment:
    """Usage of a window that its recorder had passed already."""

    #: The window in which it was counted at the agent.
    window: int
    #: The figures by organisation.
    figures: Figures


@attrs.frozen
class UsageRow:
    """What one recorder counted in one window, cumulative."""

    #: Figures by organisation, adjustments not included.
    figures: Figures = {}
    #: Usage of earlier windows that is reported with this one.
    adjustments: tuple[Adjustment, ...] = ()
    #: Marks the write that set the row.
    nonce: str = ""


@attrs.frozen
class SealRow:
    """The final figures of one window."""

    #: The window.
    window: int
    #: Figures by organisation, adjustments included.
    figures: Figures
    #: What part of the figures belongs to earlier windows.
    adjustments: tuple[Adjustment, ...]
    #: When it was sealed, seconds since the epoch.
    sealed_at_s: float
    #: Fencing number under which it was sealed.
    fence: int
    #: Marks the write that set the row.
    nonce: str


@attrs.frozen
class OutcomeRow:
    """What became of one window's reports."""

    #: The window.
    window: int
    #: Organisations whose report the platform took.
    reported: tuple[str, ...]
    #: Organisations whose report it refused.
    refused: tuple[str, ...]
    #: When that was known, seconds since the epoch.
    reported_at_s: float
    #: Fencing number under which it was written.
    fence: int
    #: Marks the write that set the row.
    nonce: str


@attrs.frozen
class WindowHead:
    """Names the newest window that has come somewhere."""

    #: The window.
    window: int
    #: Marks the write that set the row.
    nonce: str


def recorder_key(recorder: str) -> ports.RowKey:
    """Return where a recorder's row lies."""
    return ports.RowKey(RECORDERS, recorder)


def window_prefix(window: int) -> str:
    """Return how keys of one window begin."""
    return f"{window:012d}/"


def usage_key(window: int, recorder: str) -> ports.RowKey:
    """Return where a recorder's figures of a window lie."""
    return ports.RowKey(USAGE, window_prefix(window) + recorder)


def seal_key(window: int) -> ports.RowKey:
    """Return where the sealed figures of a window lie."""
    return ports.RowKey(SEALS, f"{window:012d}")


def outcome_key(window: int) -> ports.RowKey:
    """Return where the outcome of a window's reports lies."""
    return ports.RowKey(REPORTS, f"{window:012d}")
