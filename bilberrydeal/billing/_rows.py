"""Table rows of usage, recorders, seals and reports."""

import collections.abc
import enum

import attrs

from .. import ports
from . import _positions

#: Table of figures by window and recorder.
USAGE = "usage"
#: Table with one row per recorder.
RECORDERS = "recorders"
#: Table of sealed figures by window.
SEALS = "seals"
#: Table of report outcomes by window.
REPORTS = "reports"
#: Row rewritten whenever a recorder opens, so that a concurrent seal fails.
OPENINGS = ports.RowKey("billing", "openings")
#: Row with the newest sealed window.
SEALED = ports.RowKey("billing", "sealed")
#: Row with the newest reported window.
REPORTED = ports.RowKey("billing", "reported")

#: The empty set of positions.
NO_POSITIONS = _positions.PositionSet()

Figures = collections.abc.Mapping[str, ports.OrganisationFigures]


class RecorderState(enum.StrEnum):
    """Whether a recorder still settles records."""

    OPEN = "open"
    CLOSED = "closed"


@attrs.frozen
class RecorderRow:
    """State of one recorder, by which duplicate records are detected."""

    #: Whether it still settles records; closing is final.
    state: RecorderState
    #: Newest window to which, like all earlier ones, it adds no more figures.
    passed: int
    #: Settled records of its entry's requests, by incarnation of the agent,
    #: whichever recorder counted them.
    settled: collections.abc.Mapping[str, _positions.PositionSet] = {}
    #: Sequence numbers of requests that its entry billed itself.
    self_billed: tuple[int, ...] = ()
    #: Identifies the write that set the row.
    nonce: str = ""
    #: Time of closing, in seconds since the epoch; 0 while it is open.
    closed_at_s: float = 0.0


@attrs.frozen
class Adjustment:
    """Late usage of a window that its recorder had already passed."""

    #: Window in which the agent counted it.
    window: int
    #: Figures by organisation.
    figures: Figures


@attrs.frozen
class UsageRow:
    """Cumulative usage counted by one recorder in one window."""

    #: Figures by organisation, without adjustments.
    figures: Figures = {}
    #: Usage of earlier windows, reported with this window.
    adjustments: tuple[Adjustment, ...] = ()
    #: Identifies the write that set the row.
    nonce: str = ""


@attrs.frozen
class SealRow:
    """Final figures of one window."""

    #: Number of the window.
    window: int
    #: Figures by organisation, with adjustments.
    figures: Figures
    #: Part of the figures that belongs to earlier windows.
    adjustments: tuple[Adjustment, ...]
    #: Time of sealing, in seconds since the epoch.
    sealed_at_s: float
    #: Fencing token under which it was sealed.
    fence: int
    #: Identifies the write that set the row.
    nonce: str


@attrs.frozen
class OutcomeRow:
    """Outcome of one window's reports."""

    #: Number of the window.
    window: int
    #: Organisations whose report the platform accepted.
    reported: tuple[str, ...]
    #: Organisations whose report it rejected.
    refused: tuple[str, ...]
    #: Time at which the outcome was known, in seconds since the epoch.
    reported_at_s: float
    #: Fencing token under which it was written.
    fence: int
    #: Identifies the write that set the row.
    nonce: str


@attrs.frozen
class WindowHead:
    """Newest window that was opened, sealed or reported."""

    #: Number of the window.
    window: int
    #: Identifies the write that set the row.
    nonce: str


def recorder_key(recorder: str) -> ports.RowKey:
    """Return the key of a recorder's row."""
    return ports.RowKey(RECORDERS, recorder)


def window_prefix(window: int) -> str:
    """Return the key prefix of one window."""
    return f"{window:012d}/"


def usage_key(window: int, recorder: str) -> ports.RowKey:
    """Return the key of a recorder's figures in a window."""
    return ports.RowKey(USAGE, window_prefix(window) + recorder)


def seal_key(window: int) -> ports.RowKey:
    """Return the key of a window's seal."""
    return ports.RowKey(SEALS, f"{window:012d}")


def outcome_key(window: int) -> ports.RowKey:
    """Return the key of the outcome of a window's reports."""
    return ports.RowKey(REPORTS, f"{window:012d}")
