"""Usage accounting, from the agents' records to the platform's reports."""

from ._close import close_recorder
from ._codec import decode_seal
from ._codec import decode_usage
from ._codec import encode
from ._positions import PositionSet
from ._recorder import Recorder
from ._recorder import RecorderClosed
from ._recorder import settle_period_s
from ._report import Reporter
from ._report import ReportStats
from ._rows import Adjustment
from ._rows import OutcomeRow
from ._rows import RecorderRow
from ._rows import RecorderState
from ._rows import SealRow
from ._rows import UsageRow
from ._seal import Sealer
from ._status import read_sealed
from ._status import SealedUsage
from ._sweep import sweep
from ._waiting import Acknowledged
from ._windows import WindowRule

__all__ = [
    "Acknowledged",
    "Adjustment",
    "OutcomeRow",
    "PositionSet",
    "Recorder",
    "RecorderClosed",
    "RecorderRow",
    "RecorderState",
    "ReportStats",
    "Reporter",
    "SealRow",
    "decode_seal",
    "decode_usage",
    "encode",
    "SealedUsage",
    "Sealer",
    "UsageRow",
    "WindowRule",
    "close_recorder",
    "read_sealed",
    "settle_period_s",
    "sweep",
]
