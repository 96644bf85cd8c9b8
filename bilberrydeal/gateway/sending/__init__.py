"""Sends requests to endpoints, within limits and budgets."""

from ._quarantine import QUARANTINE_INTERVAL_S
from ._quarantine import RequestQuarantine
from ._quarantine import SOUND_AFTER_S
from ._quarantine import STREAM_BEGINNING_S
from ._retry_policy import RetryPolicy
from ._send_failures import count_failure
from ._send_failures import FAILED_SENDS
from ._send_failures import failure_reason
from ._send_failures import is_final
from ._send_failures import PrefillLost
from ._sending import Exchange
from ._sending import Lost
from ._sending import NotOffered
from ._sending import Patience
from ._sending import Rejected
from ._sending import Sender

__all__ = [
    "STREAM_BEGINNING_S",
    "Exchange",
    "FAILED_SENDS",
    "QUARANTINE_INTERVAL_S",
    "Lost",
    "NotOffered",
    "RequestQuarantine",
    "Patience",
    "PrefillLost",
    "Rejected",
    "RetryPolicy",
    "SOUND_AFTER_S",
    "Sender",
    "count_failure",
    "failure_reason",
    "is_final",
]
