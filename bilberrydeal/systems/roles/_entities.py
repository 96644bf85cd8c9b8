"""What the role planner reads and writes."""

import attrs

from ... import ports

#: Which phase of a request an engine works on.
Role = ports.EngineRole


@attrs.frozen
class DemandWindow:
    """What arrived for one model in one window of time."""

    #: Monotonic time at which the window ended.
    end_s: float
    #: Length of the window.
    length_s: float
    #: Prompt tokens that arrived and were not found in a cache.
    prompt_tokens: float
    #: Output tokens that the arrived requests are expected to generate.
    output_tokens: float


@attrs.frozen
class ModelDemand:
    """Recent demand for one model, as the entries report it together."""

    #: Name of the model.
    key: str
    #: Recent windows, oldest first; ten minutes of them are enough.
    windows: tuple[DemandWindow, ...]
    #: Prompt tokens that wait to be computed.
    queued_prompt_tokens: float = 0.0
    #: Output tokens that wait to be generated.
    queued_output_tokens: float = 0.0


@attrs.frozen
class RoleEndpoint:
    """One engine as the role planner sees it."""

    #: Name of the endpoint.
    key: str
    #: Model that it serves.
    model: str
    #: Failure domain that it is in.
    failure_domain: str
    #: Role of the newest committed order, else the one it reports.
    role: Role
    #: Whether an order is committed and not applied yet.
    changing: bool = False
    #: Whether it can serve: healthy, and not leaving.
    usable: bool = True
    #: Monotonic time of its last role order; minus infinity for none.
    ordered_at_s: float = float("-inf")
    #: Whether an operator assigned it to a role.
    assigned: bool = False
    #: Version of the weights in its newest committed order.
    model_version: str = ""
    #: Adapters in its newest committed order.
    adapters: tuple[str, ...] = ()


@attrs.frozen
class ModelRates:
    """What one engine of a model does, and what hand-over costs."""

    #: Name of the model.
    key: str
    #: Prompt tokens a second of an engine that only prefills.
    prefill_tokens_per_s: float = 4000.0
    #: Output tokens a second of an engine that only decodes.
    decode_tokens_per_s: float = 1000.0
    #: Share of its capacity that an engine loses when it does both phases
    #: in equal parts, because prompts stall the running generations.
    mixing_loss: float = 0.1
    #: Part of the prefill time that exporting and importing the KV cache
    #: adds, on the engine that prefills.
    handover_loss: float = 0.1


@attrs.frozen
class RoleOrder:
    """A decision to change the role of one engine."""

    #: Name of the endpoint.
    key: str
    #: Model that it serves.
    model: str
    #: Role that it is to take.
    role: Role


@attrs.frozen
class Assignment:
    """What an operator makes one engine be."""

    #: Name of the endpoint.
    key: str
    #: Role that it is to have.
    role: Role
    #: Version of the weights; empty for that of the model.
    model_version: str = ""
    #: Adapters to load.
    adapters: tuple[str, ...] = ()


@attrs.frozen
class ModelVersion:
    """The version of the weights that a model's engines are to load."""

    #: Name of the model.
    key: str
    #: The version.
    version: str


@attrs.frozen
class EngineOrder:
    """All that one engine is to be."""

    #: Name of the endpoint.
    key: str
    #: Model that it serves.
    model: str
    #: Role that it is to take.
    role: Role
    #: Version of the weights.
    model_version: str = ""
    #: Adapters to load.
    adapters: tuple[str, ...] = ()
