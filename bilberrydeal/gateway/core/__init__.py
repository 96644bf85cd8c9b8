"""Requests, their progress and refusals, and the metrics of a gateway."""

from ._metrics import GatewayMetrics
from ._metrics import GaugeValues
from ._requests import AdmittedRequest
from ._requests import ConfigurationAge
from ._requests import FAILED_RETRY_S
from ._requests import failure_refusal
from ._requests import NO_PROMPT
from ._requests import not_run_refusal
from ._requests import QuotaCharge
from ._requests import RequestProgress
from ._requests import SendRecord
from ._shutdown_state import ShutdownState
from ._stream_origin import StreamOrigin

__all__ = [
    "AdmittedRequest",
    "ConfigurationAge",
    "FAILED_RETRY_S",
    "GatewayMetrics",
    "GaugeValues",
    "NO_PROMPT",
    "QuotaCharge",
    "RequestProgress",
    "SendRecord",
    "ShutdownState",
    "StreamOrigin",
    "failure_refusal",
    "not_run_refusal",
]
