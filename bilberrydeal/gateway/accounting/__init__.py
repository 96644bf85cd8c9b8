"""Counts requests for billing, settles windows and reports them."""

from ._clock import boot_s
from ._clock import ClusterClock
from ._ended_rows import EndedRows
from ._ended_rows import PAGE_INTERVAL_S
from ._reporting import DUTY
from ._reporting import Reporter
from ._usage import alive_s
from ._usage import incarnation_of
from ._usage import Members
from ._usage import UsageCounter
from ._usage import UsageRows
from ._usage_broadcast import BROADCAST_INTERVAL_S
from ._usage_broadcast import CountBroadcaster
from ._usage_broadcast import PeerCounts
from ._usage_broadcast import SettledWindows

__all__ = [
    "BROADCAST_INTERVAL_S",
    "ClusterClock",
    "CountBroadcaster",
    "DUTY",
    "EndedRows",
    "Members",
    "PAGE_INTERVAL_S",
    "PeerCounts",
    "Reporter",
    "SettledWindows",
    "UsageCounter",
    "UsageRows",
    "alive_s",
    "boot_s",
    "incarnation_of",
]
