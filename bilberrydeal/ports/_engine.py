"""Port to one model engine."""

import collections.abc
import enum
import typing

import attrs

from .. import errors

#: Finish reason of a cancelled generation.
CANCELLED = "cancelled"


class EngineRole(enum.StrEnum):
    """Phase of requests that an engine computes."""

    PREFILL = "prefill"
    DECODE = "decode"
    BOTH = "both"


def role_or_none(text: str) -> EngineRole | None:
    """Return a role by its name, ``None`` if this version knows no such."""
    try:
        return EngineRole(text)
    except ValueError:
        return None


@attrs.frozen
class Sampling:
    """Sampling parameters; ``None`` selects the engine's default."""

    temperature: float | None = None
    top_p: float | None = None
    seed: int | None = None
    #: Stop sequences.
    stop: tuple[str, ...] = ()


@attrs.frozen
class EngineRequest:
    """A request to generate text."""

    #: Identifier of the request, also used to cancel and resume it.
    request_id: str
    #: Model to run.
    model: str
    #: Whole prompt as text.
    prompt: str
    #: Maximum number of tokens to generate.
    max_tokens: int
    #: Scheduling priority; lower values run first.
    priority: int = 0
    #: Handle returned by ``export_kv`` of the KV cache to start from.
    kv_handle: str = ""
    #: Sampling parameters.
    sampling: Sampling = Sampling()


@attrs.frozen
class EngineEvent:
    """One event of a running generation."""

    #: Text generated since the last event.
    text: str
    #: Tokens generated since the last event.
    output_tokens: int
    #: ``stop``, ``length`` or ``cancelled`` on the last event, else empty.
    finish_reason: str = ""
    #: Prompt tokens computed; set on the last event.
    prompt_tokens: int = 0
    #: Prompt tokens read from the prefix cache; set on the last event.
    cached_tokens: int = 0


@attrs.frozen
class EngineOrder:
    """Desired state of an engine; ``order_version`` only increases."""

    #: Version of the table row in which the order is stored.
    order_version: int
    #: Fencing token of the lease under which it was committed.
    fence: int
    #: Role to assume.
    role: EngineRole
    #: Model to load.
    model: str
    #: Version of the model's weights.
    model_version: str = ""
    #: Adapters to load.
    adapters: tuple[str, ...] = ()
    #: Number of orders that the engine must have accepted since it started,
    #: checked when the order is applied; -1 accepts any number.
    expected_taken: int = -1


@attrs.frozen
class EngineState:
    """Current state of an engine."""

    #: Version of the last order that it has finished applying.
    order_version: int
    #: Current role.
    role: EngineRole
    #: Loaded model.
    model: str
    #: Version of the loaded weights.
    model_version: str
    #: Loaded adapters.
    adapters: tuple[str, ...] = ()
    #: Whether it is applying an order.
    changing: bool = False
    #: Number of orders accepted since it started.
    orders_taken: int = 0


@attrs.frozen
class LoadReport:
    """Load of an engine at the time it was last published."""

    #: Age of the values on arrival, in seconds.
    age_s: float
    #: Number of running requests.
    running: int
    #: Number of queued requests.
    waiting: int
    #: Prompt tokens not computed yet.
    queued_prompt_tokens: int
    #: Fraction of the KV cache memory in use, 0 to 1.
    kv_used_share: float


@attrs.frozen
class CacheEvent:
    """A block stored in or evicted from an engine's prefix cache."""

    #: ``stored`` or ``evicted``.
    kind: str
    #: Hash of the prefix block; see :mod:`bilberrydeal.prefixes`.
    block: int


@attrs.frozen
class CacheEvents:
    """A batch of consecutive cache events.

    Events were lost if ``first`` is beyond the number that was requested.
    """

    #: Sequence number of the first event in the batch.
    first: int
    #: Sequence number to request next.
    next: int
    #: Events in order.
    events: tuple[CacheEvent, ...]


@attrs.define(slots=False, eq=False)
class EngineFailure(errors.BilberrydealError):
    """A call of the engine failed."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.ENDPOINT_FAILED

    #: Name of the operation.
    operation: str
    #: Whether the engine may have started to execute it.
    started: bool


@attrs.define(slots=False, eq=False)
class OrderRefused(errors.BilberrydealError):
    """The engine has seen a newer fencing token or another order."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.FENCED

    #: Version of the rejected order.
    order_version: int


class Engine(typing.Protocol):
    """A model engine; calls raise :class:`EngineFailure`."""

    def generate(
        self, request: EngineRequest, timeout_s: float
    ) -> collections.abc.AsyncIterator[EngineEvent]:
        """Run a generation and yield its events."""

    def resume(
        self, request_id: str, after_tokens: int, timeout_s: float
    ) -> collections.abc.AsyncIterator[EngineEvent]:
        """Yield the events of a running generation after some tokens."""

    async def cancel(self, request_id: str, timeout_s: float) -> None:
        """Cancel a generation; an unknown one is ignored."""

    async def running(self, timeout_s: float) -> tuple[str, ...]:
        """Return the identifiers of the unfinished generations."""

    async def load(self, timeout_s: float) -> LoadReport:
        """Return the last published load report."""

    async def cache_events(self, after: int, timeout_s: float) -> CacheEvents:
        """Return the cache events that follow a sequence number."""

    async def state(self, timeout_s: float) -> EngineState:
        """Return the current state of the engine."""

    async def apply(self, order: EngineOrder, timeout_s: float) -> EngineState:
        """Apply an order, or raise :class:`OrderRefused`."""

    async def export_kv(self, request_id: str, timeout_s: float) -> str:
        """Export the KV cache of a prefill and return its handle."""

    async def import_kv(self, handle: str, timeout_s: float) -> None:
        """Fetch an exported KV cache for use by ``generate``."""
