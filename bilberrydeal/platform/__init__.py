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
from ._records import decode_configuration
from ._records import decode_endpoint
from ._records import RecordInvalid
from ._responses import echo_id
from ._responses import misdirected
from ._responses import passed_on
from ._responses import read_prompt_verdict
from ._responses import retry_after
from ._responses import Verdict
from ._responses import verdict
from ._store import CONFIGURATION_KEY
from ._store import CONFIGURATION_TABLE
from ._store import ENDPOINTS_TABLE
from ._store import PlatformStore
from ._usage import UsageApi

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
