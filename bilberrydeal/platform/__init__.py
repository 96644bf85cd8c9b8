"""Client of the users' platform: its names, formats and calls.

Everything read is decoded once into this system's types. The package makes
no decisions, and no other package depends on the platform's names.
"""

from ._caller_fields import CallerFields
from ._caller_fields import decode_caller
from ._engines import EngineApi
from ._forward import forward_head
from ._forward import SendFields
from ._headers import HeaderNames
from ._headers import HEADERS
from ._headers import READY_PATH
from ._quotas import AMOUNT_LIMIT
from ._quotas import quota_cost
from ._records import decode_configuration
from ._records import decode_endpoint
from ._records import RecordInvalid
from ._responses import classify_prefill_response
from ._responses import classify_response
from ._responses import forwarded_headers
from ._responses import misdirected
from ._responses import request_id_header
from ._responses import ResponseClass
from ._responses import retry_after_header
from ._signals import endpoint_signals
from ._signals import EndpointSignals
from ._signals import OnSignals
from ._store import CONFIGURATION_KEY
from ._store import CONFIGURATION_TABLE
from ._store import ENDPOINTS_TABLE
from ._store import PlatformStore
from ._usage import UsageApi

__all__ = [
    "AMOUNT_LIMIT",
    "CONFIGURATION_KEY",
    "CONFIGURATION_TABLE",
    "CallerFields",
    "ENDPOINTS_TABLE",
    "EndpointSignals",
    "EngineApi",
    "HEADERS",
    "HeaderNames",
    "OnSignals",
    "PlatformStore",
    "READY_PATH",
    "RecordInvalid",
    "ResponseClass",
    "SendFields",
    "UsageApi",
    "classify_prefill_response",
    "classify_response",
    "decode_caller",
    "decode_configuration",
    "decode_endpoint",
    "endpoint_signals",
    "forward_head",
    "forwarded_headers",
    "misdirected",
    "quota_cost",
    "request_id_header",
    "retry_after_header",
]
