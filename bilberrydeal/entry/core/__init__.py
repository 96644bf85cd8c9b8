"""The request core: admits a request and runs it on an endpoint."""

from ._admitter import Admission
from ._admitter import RequestAdmitter
from ._at_most_once import agent_resolver
from ._at_most_once import AtMostOnceRunner
from ._at_most_once import final_event
from ._attempt import ResponseEvent
from ._attempt import Restarted
from ._billing import AnsweredRequest
from ._billing import LostRequest
from ._bodies import decode_chat
from ._bodies import decode_completion
from ._bodies import Generation
from ._callers import CallerRequest
from ._callers import CHAT_PATH
from ._callers import IDEMPOTENCY_HEADER
from ._callers import MODELS_PATH
from ._callers import TRACE_HEADER
from ._demand import DemandMeter
from ._dispatch import Dispatcher
from ._observer import MetricsObserver
from ._policies import build_policies
from ._policies import Policies
from ._pool import AgentLocation
from ._pool import LinkPool
from ._request import AdmittedRequest
from ._request_numbers import RequestNumbers
from ._traces import RequestTraces

__all__ = [
    "Admission",
    "AdmittedRequest",
    "AgentLocation",
    "AnsweredRequest",
    "AtMostOnceRunner",
    "CHAT_PATH",
    "CallerRequest",
    "DemandMeter",
    "Dispatcher",
    "Generation",
    "IDEMPOTENCY_HEADER",
    "LinkPool",
    "LostRequest",
    "MODELS_PATH",
    "MetricsObserver",
    "Policies",
    "RequestAdmitter",
    "RequestNumbers",
    "RequestTraces",
    "ResponseEvent",
    "Restarted",
    "TRACE_HEADER",
    "agent_resolver",
    "build_policies",
    "decode_chat",
    "decode_completion",
    "final_event",
]
