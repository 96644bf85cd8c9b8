"""Speaks to the users' platform: its names, formats and calls.

Everything read is decoded once into the product's types; nothing here
decides. No other package knows the platform's words.
"""

from ._answers import echo_id
from ._answers import misdirected
from ._answers import passed_on
from ._answers import read_prompt_verdict
from ._answers import retry_after
from ._answers import Verdict
from ._answers import verdict
from ._duties import UsageApi
from ._engines import EngineApi
from ._forward import forward_head
from ._forward import SendFields
from ._headers import HeaderNames
from ._headers import HEADERS
from ._headers import READY_PATH
from ._incoming import CallerFields
from ._incoming import decode_caller
from ._records import decode_configuration
from ._records import decode_endpoint
from ._records import RecordInvalid
from ._store import CONFIGURATION_KEY
from ._store import CONFIGURATION_TABLE
from ._store import ENDPOINTS_TABLE
from ._store import PlatformStore

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_TABLE",
    "CallerFields",
    "ENDPOINTS_TABLE",
    "EngineApi",
    "HEADERS",
    "HeaderNames",
    "PlatformStore",
    "READY_PATH",
    "RecordInvalid",
    "SendFields",
    "UsageApi",
    "Verdict",
    "decode_caller",
    "decode_configuration",
    "decode_endpoint",
    "echo_id",
    "forward_head",
    "misdirected",
    "passed_on",
    "read_prompt_verdict",
    "retry_after",
    "verdict",
]
