"""Port to one model engine."""

import collections.abc
import enum
import typing

import attrs

from .. import errors

#: Finish reason of a generation that was ended early.
CANCELLED = "cancelled"


class EngineRole(enum.StrEnum):
    """Which phase of a request an engine works on."""

    PREFILL = "prefill"
    DECODE = "decode"
    BOTH = "both"


@attrs.frozen
class Sampling:
    """How tokens are drawn; ``None`` leaves the choice to the engine."""

    temperature: float | None = None
    top_p: float | None = None
    seed: int | None = None
    #: Texts that end the generation.
    stop: tuple[str, ...] = ()


@attrs.frozen
class EngineRequest:
    """One generation."""

    #: Identity of the request at the engine, for cancelling and resuming.
    request_id: str
    #: Model to run.
    model: str
    #: The prompt as one text.
    prompt: str
    #: Most tokens to generate.
    max_tokens: int
    #: Lower runs first.
    priority: int = 0
    #: KV cache to start from, as ``export_kv`` named it.
    kv_handle: str = ""
    #: How tokens are drawn.
    sampling: Sampling = Sampling()


@attrs.frozen
class EngineEvent:
    """One event of a running generation."""

    #: Text generated since the last event.
    text: str
    #: Tokens generated since the last event.
    output_tokens: int
    #: Set on the last event: ``stop``, ``length`` or ``cancelled``.
    finish_reason: str = ""
    #: Prompt tokens computed, on the last event.
    prompt_tokens: int = 0
    #: Prompt tokens found in the cache, on the last event.
    cached_tokens: int = 0


@attrs.frozen
class EngineOrder:
    """What an engine should be; ``order_version`` only grows."""

    #: Version of the committed order row.
    order_version: int
    #: Fencing number of the lease that committed it.
    fence: int
    #: Role to take.
    role: EngineRole
    #: Model to load.
    model: str
    #: Version of the model's weights.
    model_version: str = ""
    #: Adapters to load.
    adapters: tuple[str, ...] = ()
    #: Orders that the engine must have taken before since it started; -1 for
    #: any number. It is checked when the order is carried out.
    expected_taken: int = -1


@attrs.frozen
class EngineState:
    """What an engine is now."""

    #: Version of the last order that it finished.
    order_version: int
    #: Role that it has.
    role: EngineRole
    #: Model that it has loaded.
    model: str
    #: Version of the model's weights.
    model_version: str
    #: Adapters that it has loaded.
    adapters: tuple[str, ...] = ()
    #: Whether an order is being carried out.
    changing: bool = False
    #: Orders that it has taken since it started.
    orders_taken: int = 0


@attrs.frozen
class LoadReport:
    """Load as the engine published it, some time ago."""

    #: How old the figures are when they arrive, in seconds.
    age_s: float
    #: Requests that run.
    running: int
    #: Requests that wait.
    waiting: int
    #: Prompt tokens that wait to be computed.
    queued_prompt_tokens: int
    #: Share of the KV memory in use, 0 to 1.
    kv_used_share: float


@attrs.frozen
class CacheEvent:
    """A change of the engine's prefix cache."""

    #: ``stored`` or ``evicted``.
    kind: str
    #: Hash of the prefix block, see :mod:`bilberrydeal.prefixes`.
    block: int


@attrs.frozen
class CacheEvents:
    """A batch of cache events; a jump of ``first`` shows a gap."""

    #: Number of the first event in the batch.
    first: int
    #: Number to ask for next.
    next: int
    #: The events.
    events: tuple[CacheEvent, ...]


@attrs.define(slots=False, eq=False)
class EngineFailure(errors.BilberrydealError):
    """The engine did not finish a call."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.ENDPOINT_FAILED

    #: What was called.
    operation: str
    #: Whether the engine may have begun the work.
    started: bool


@attrs.define(slots=False, eq=False)
class OrderRefused(errors.BilberrydealError):
    """The engine has seen a newer fencing number, or another order."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.FENCED

    #: Version of the order that was refused.
    order_version: int


class Engine(typing.Protocol):
    """One engine; calls raise :class:`EngineFailure`."""

    def generate(
        self, request: EngineRequest, timeout_s: float
    ) -> collections.abc.AsyncIterator[EngineEvent]:
        """Run a generation and yield its events."""

    def resume(
        self, request_id: str, after_tokens: int, timeout_s: float
    ) -> collections.abc.AsyncIterator[EngineEvent]:
        """Yield the events of a running generation past some tokens."""

    async def cancel(self, request_id: str, timeout_s: float) -> None:
        """End a generation; one that is unknown is no error."""

    async def running(self, timeout_s: float) -> tuple[str, ...]:
        """Return the identities of the generations that have not ended."""

    async def load(self, timeout_s: float) -> LoadReport:
        """Return the last published load report."""

    async def cache_events(self, after: int, timeout_s: float) -> CacheEvents:
        """Return the cache events past a number."""

    async def state(self, timeout_s: float) -> EngineState:
        """Return what the engine is now."""

    async def apply(self, order: EngineOrder, timeout_s: float) -> EngineState:
        """Carry out an order, or raise :class:`OrderRefused`."""

    async def export_kv(self, request_id: str, timeout_s: float) -> str:
        """Export the KV cache of a prefill and return its handle."""

    async def import_kv(self, handle: str, timeout_s: float) -> None:
        """Fetch an exported KV cache so that ``generate`` can use it."""
