"""Rows of the configuration."""

import enum

import attrs

from .. import ports


class Access(enum.StrEnum):
    """Who may call a route."""

    #: Anyone, without a key.
    OPEN = "open"
    #: Holders of a valid key.
    KEYED = "keyed"


@attrs.frozen
class Organisation:
    """An organisation with its weight and limits; 0 means unlimited."""

    #: Name, which never changes.
    name: str
    #: Share of the fleet relative to other organisations' weights.
    weight: float = 1.0
    #: Maximum request rate, per second.
    requests_per_s: float = 0.0
    #: Maximum rate of prompt and output tokens together, per second.
    tokens_per_s: float = 0.0
    #: Maximum number of concurrent requests.
    concurrency: int = 0
    #: Whether its requests are accepted.
    enabled: bool = True
    #: Revision of the configuration that last set this row.
    revision: int = 0


@attrs.frozen
class KeyRecord:
    """An API key of an organisation; the secret is never stored."""

    #: Public identifier of the key.
    key_id: str
    #: Name of the organisation.
    organisation: str
    #: Keyed hash of the secret in hexadecimal.
    key_hash: str
    #: Whether it was withdrawn, which is permanent.
    withdrawn: bool = False
    #: Description for operators.
    label: str = ""


@attrs.frozen
class Route:
    """A path and the destination of its requests."""

    #: Name, which never changes.
    name: str
    #: Path; a trailing ``*`` matches every path with that prefix.
    path: str
    #: Allowed HTTP methods.
    methods: tuple[str, ...] = ("POST",)
    #: Who may call it.
    access: Access = Access.KEYED
    #: Whether a request may run more than once.
    idempotent: bool = False
    #: Priority within an organisation; lower is served first.
    request_class: int = 0
    #: Deadline of requests that specify none; 0 for the entry's default.
    deadline_s: float = 0.0
    #: Plain service to call; empty if requests name a model.
    service: str = ""
    #: Revision of the configuration that last set this row.
    revision: int = 0


@attrs.frozen
class Model:
    """A model that callers may request."""

    #: Name used in requests.
    name: str
    #: Service whose engines run the model.
    service: str
    #: Version of the weights to load on the service's engines; if empty, each
    #: engine keeps its current version.
    version: str = ""
    #: Request class; ``None`` for that of the route.
    request_class: int | None = None
    #: Cost of a computed prompt token in weighted fair sharing.
    prefill_price: float = 1.0
    #: Cost of a generated token in weighted fair sharing.
    decode_price: float = 4.0
    #: Revision of the configuration that last set this row.
    revision: int = 0


@attrs.frozen
class Assignment:
    """An engine's role set by an operator; the role planner ignores it."""

    #: Name of the endpoint.
    name: str
    #: Role of the engine.
    role: ports.EngineRole
    #: Version of the weights; empty for the version of the model row.
    version: str = ""
    #: Adapters to load.
    adapters: tuple[str, ...] = ()
    #: Revision of the configuration that last set this row.
    revision: int = 0
