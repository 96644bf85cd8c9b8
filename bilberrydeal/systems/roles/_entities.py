"""Input and output rows of the role planners."""

import attrs

from ... import ports

#: Phases of a request that an engine executes.
Role = ports.EngineRole


@attrs.frozen
class DemandWindow:
    """Demand that arrived for one model in one time window."""

    #: Monotonic time at which the window ended.
    end_s: float
    #: Length of the window.
    length_s: float
    #: Prompt tokens that arrived and were not cached.
    prompt_tokens: float
    #: Expected output tokens of the requests that arrived.
    output_tokens: float


@attrs.frozen
class ModelDemand:
    """Recent demand for one model, summed over the entry processes."""

    #: Name of the model.
    key: str
    #: Recent windows, oldest first; ten minutes are enough.
    windows: tuple[DemandWindow, ...]
    #: Queued prompt tokens.
    queued_prompt_tokens: float = 0.0
    #: Expected output tokens of queued requests.
    queued_output_tokens: float = 0.0


@attrs.frozen
class RoleEndpoint:
    """State of one engine for the role planners."""

    #: Name of the endpoint.
    key: str
    #: Model that it serves.
    model: str
    #: Failure domain of the engine.
    failure_domain: str
    #: Role in the latest committed order, else the reported role.
    role: Role
    #: Whether an order is committed but not applied yet.
    changing: bool = False
    #: Whether it can serve: it is healthy and not leaving.
    usable: bool = True
    #: Monotonic time of its last role order; minus infinity if none.
    ordered_at_s: float = float("-inf")
    #: Whether an operator assigned it to a role.
    assigned: bool = False
    #: Version of the weights in its latest committed order.
    model_version: str = ""
    #: Adapters in its latest committed order.
    adapters: tuple[str, ...] = ()


@attrs.frozen
class ModelRates:
    """Speed of one engine of a model, and the losses of sharing work."""

    #: Name of the model.
    key: str
    #: Prompt tokens per second of an engine that only prefills.
    prefill_tokens_per_s: float = 4000.0
    #: Output tokens per second of an engine that only decodes.
    decode_tokens_per_s: float = 1000.0
    #: Share of its capacity that an engine loses when it executes both
    #: phases in equal parts, because prefill stalls running generations.
    mixing_loss: float = 0.1
    #: Overhead of exporting and importing the KV cache, as a share of the
    #: prefill time, on the engine that prefills.
    handover_loss: float = 0.1


@attrs.frozen
class RoleOrder:
    """A decision to change the role of one engine."""

    #: Name of the endpoint.
    key: str
    #: Model that it serves.
    model: str
    #: New role.
    role: Role


@attrs.frozen
class Assignment:
    """Configuration that an operator assigns to one engine."""

    #: Name of the endpoint.
    key: str
    #: Assigned role.
    role: Role
    #: Version of the weights; empty for the version of the model.
    model_version: str = ""
    #: Adapters to load.
    adapters: tuple[str, ...] = ()


@attrs.frozen
class ModelVersion:
    """Version of the weights that the engines of a model should load."""

    #: Name of the model.
    key: str
    #: Version of the weights.
    version: str


@attrs.frozen
class EngineOrder:
    """Complete configuration that is ordered for one engine."""

    #: Name of the endpoint.
    key: str
    #: Model that it serves.
    model: str
    #: New role.
    role: Role
    #: Version of the weights.
    model_version: str = ""
    #: Adapters to load.
    adapters: tuple[str, ...] = ()
