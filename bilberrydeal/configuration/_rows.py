"""The entities that operators configure."""

import enum

import attrs

from .. import ports


class Access(enum.StrEnum):
    """Who may call a route."""

    #: Everybody, without a key.
    OPEN = "open"
    #: Holders of a valid key.
    KEYED = "keyed"


@attrs.frozen
class Organisation:
    """One organisation with its weight and limits; 0 is no limit."""

    #: Name, which never changes.
    name: str
    #: Share of the fleet relative to other organisations' weights.
    weight: float = 1.0
    #: Most requests a second.
    requests_per_s: float = 0.0
    #: Most tokens a second, prompt and output together.
    tokens_per_s: float = 0.0
    #: Most requests at once.
    concurrency: int = 0
    #: Whether its requests are taken at all.
    enabled: bool = True
    #: Revision of the configuration that last set this row.
    revision: int = 0


@attrs.frozen
class KeyRecord:
    """One key of an organisation; the key itself is never stored."""

    #: Public name of the key.
    key_id: str
    #: Whose key it is.
    organisation: str
    #: Keyed hash of the secret, hexadecimal.
    key_hash: str
    #: Whether it was withdrawn, which is never undone.
    withdrawn: bool = False
    #: What operators call it.
    label: str = ""


@attrs.frozen
class Route:
    """A path and where its requests go."""

    #: Name, which never changes.
    name: str
    #: Path, with ``*`` at the end for all paths below.
    path: str
    #: HTTP methods.
    methods: tuple[str, ...] = ("POST",)
    #: Who may call it.
    access: Access = Access.KEYED
    #: Whether a request may run more than once.
    idempotent: bool = False
    #: Lower is served first within an organisation.
    request_class: int = 0
    #: Deadline of a request that names none, 0 for the entry's default.
    deadline_s: float = 0.0
    #: Plain service that answers; empty where the request names a model.
    service: str = ""
    #: Revision of the configuration that last set this row.
    revision: int = 0


@attrs.frozen
class Model:
    """A model that requests may name."""

    #: Name that callers use.
    name: str
    #: Service whose engines run it.
    service: str
    #: Version of the weights that the service's engines are to load; empty
    #: leaves each engine what it has.
    version: str = ""
    #: Request class, ``None`` for that of the route.
    request_class: int | None = None
    #: Price of a prompt token computed, in units of fair sharing.
    prefill_price: float = 1.0
    #: Price of a token generated, in units of fair sharing.
    decode_price: float = 4.0
    #: Revision of the configuration that last set this row.
    revision: int = 0


@attrs.frozen
class Assignment:
    """What an operator makes one engine be; the planner leaves it alone."""

    #: Name of the endpoint.
    name: str
    #: Role of the engine.
    role: ports.EngineRole
    #: Version of the model's weights; empty for that of the model.
    version: str = ""
    #: Adapters to load.
    adapters: tuple[str, ...] = ()
    #: Revision of the configuration that last set this row.
    revision: int = 0
