"""The request core: admits a request and carries it to an endpoint."""

from ._attempt import Part
from ._attempt import Restarted
from ._bills import Answered
from ._bills import LostWork
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
from ._gate import Admitted
from ._gate import Gate
from ._journal import Journal
from ._numbers import Numbers
from ._observer import MetricsObserver
from ._once import agent_resolver
from ._once import last_part
from ._once import OnceRunner
from ._policies import build_policies
from ._policies import Policies
from ._pool import AgentPlace
from ._pool import LinkPool
from ._work import Work

__all__ = [
    "Admitted",
    "AgentPlace",
    "Answered",
    "CHAT_PATH",
    "CallerRequest",
    "DemandMeter",
    "Dispatcher",
    "Gate",
    "Generation",
    "IDEMPOTENCY_HEADER",
    "Journal",
    "LinkPool",
    "LostWork",
    "MODELS_PATH",
    "MetricsObserver",
    "Numbers",
    "OnceRunner",
    "Part",
    "Policies",
    "Restarted",
    "TRACE_HEADER",
    "Work",
    "agent_resolver",
    "build_policies",
    "decode_chat",
    "decode_completion",
    "last_part",
]
