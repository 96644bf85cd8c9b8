"""Seeded loads: the requests of callers and the faults of endpoints."""

import collections.abc
import random

import attrs

from bilberrydeal import registry

from . import _engine

#: Tokens in a block of the prefix cache.
BLOCK_TOKENS = 64
#: Blocks of the instructions shared by all prompts of an organisation.
SHARED_BLOCKS = 4
#: Concurrent conversations of an organisation.
CONVERSATIONS = 12
#: Length at which a conversation starts over, in blocks.
CONVERSATION_BLOCKS = 48
#: Customer histories that the reviews of an organisation draw from.
HISTORIES = 40
#: Longest output, as a multiple of the mean.
MAX_OUTPUT_FACTOR = 2.5
#: Expected output over the actual mean output.
EXPECTED_OUTPUT_FACTOR = 1.3


def organisation_name(number: int) -> str:
    """Return the name of an organisation."""
    return f"organisation{number}"


@attrs.frozen
class RequestKind:
    """Parameters of one kind of request."""

    #: Name.
    name: str
    #: Request class.
    request_class: int
    #: Mean number of generated tokens.
    output_tokens: int
    #: Time until the caller gives up, in seconds.
    deadline_s: float
    #: Prompt tokens that no other request shares.
    unshared_tokens: int


SHORT = RequestKind("short", 0, 30, 5.0, 120)
CHAT = RequestKind("chat", 1, 120, 30.0, 60)
REVIEW = RequestKind("review", 2, 300, 90.0, 60)


@attrs.frozen
class Size:
    """Size of the simulated system."""

    #: Number of endpoints.
    endpoints: int
    #: Number of failure domains.
    domains: int
    #: Number of entries.
    entries: int
    #: Weight of each organisation.
    weights: tuple[float, ...]


SIZES = {
    "russo": Size(5, 4, 4, (4.0, 3.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0)),
    "large": Size(24, 4, 12, (6.0, 5.0, 4.0, 3.0) + 36 * (1.0,)),
}


@attrs.frozen
class Arrival:
    """One request of a caller."""

    #: Time of arrival, in seconds.
    at_s: float
    #: Index of the organisation.
    organisation: int
    #: Kind of the request.
    kind: RequestKind
    #: Hash chain of the prompt's blocks.
    blocks: tuple[int, ...]
    #: Prompt tokens.
    prompt_tokens: int
    #: Tokens that will be generated.
    output_tokens: int
    #: Whether the request may be executed more than once.
    idempotent: bool


@attrs.frozen
class Fault:
    """A change in the state of an endpoint."""

    #: Time, in seconds.
    at_s: float
    #: ``lose``, ``restore``, ``slow`` or ``normal``.
    action: str
    #: Index of the endpoint.
    endpoint: int


@attrs.frozen
class Phase:
    """An interval with constant arrival rates."""

    #: End of the phase, in seconds.
    until_s: float
    #: Offered work over the capacity of the fleet.
    load: float
    #: Shares of short, chat and review requests.
    kind_shares: tuple[float, float, float]
    #: Factor on the usual prompt lengths.
    prompt_factor: float = 1.0


#: Usual shares of short, chat and review requests.
USUAL_MIX = (0.55, 0.37, 0.08)
#: Length of a run, in seconds.
DURATION_S = 120.0
#: Requests that arrive before this time are not counted, in seconds.
WARM_UP_S = 15.0


@attrs.frozen
class Load:
    """The phases and faults of a run."""

    #: Phases, in order of time.
    phases: tuple[Phase, ...]
    #: Offered work of ``flooding_index`` over its fair share; 0 for no flood.
    flood_factor: float = 0.0
    #: Index of the organisation that floods.
    flooding_index: int = 2
    #: Returns the faults for a size.
    faults: collections.abc.Callable[[Size], tuple[Fault, ...]] = lambda _: ()

    def flooding_organisation(self) -> int | None:
        """Return the index of the flooding organisation, if there is one."""
        return self.flooding_index if self.flood_factor else None


LOADS: registry.Registry[Load] = registry.Registry("load")


def _endpoint_losses(size: Size) -> tuple[Fault, ...]:
    found = []
    for number in range(3):
        at_s = 25.0 + 30.0 * number
        endpoint = (number * 2) % size.endpoints
        found.append(Fault(at_s, "lose", endpoint))
        found.append(Fault(at_s + 20.0, "restore", endpoint))
    return tuple(found)


def _domain_loss(size: Size) -> tuple[Fault, ...]:
    lost = range(0, size.endpoints, size.domains)
    return tuple(
        Fault(at_s, action, endpoint)
        for at_s, action in ((40.0, "lose"), (90.0, "restore"))
        for endpoint in lost
    )


def _slow_endpoints(size: Size) -> tuple[Fault, ...]:
    slow = range(0, max(1, size.endpoints // 5))
    return tuple(
        Fault(at_s, action, endpoint)
        for at_s, action in ((30.0, "slow"), (100.0, "normal"))
        for endpoint in slow
    )


def _constant_load(load: float) -> tuple[Phase, ...]:
    return (Phase(DURATION_S, load, USUAL_MIX),)


LOADS.register("steady")(Load(_constant_load(0.8)))
LOADS.register("swing")(
    Load(
        (
            Phase(30.0, 0.85, USUAL_MIX),
            Phase(60.0, 0.85, USUAL_MIX, 1.38),
            Phase(90.0, 0.85, USUAL_MIX, 0.5),
            Phase(DURATION_S, 0.85, USUAL_MIX, 1.38),
        )
    )
)
LOADS.register("holy_week")(
    Load(
        (
            Phase(20.0, 0.6, USUAL_MIX),
            Phase(50.0, 1.4, (0.1, 0.2, 0.7)),
            Phase(DURATION_S, 0.9, (0.85, 0.12, 0.03)),
        )
    )
)
LOADS.register("flood")(Load(_constant_load(0.75), flood_factor=10.0))
LOADS.register("losses")(Load(_constant_load(0.7), faults=_endpoint_losses))
LOADS.register("lost_domain")(Load(_constant_load(0.7), faults=_domain_loss))
LOADS.register("slow_endpoint")(
    Load(_constant_load(0.7), faults=_slow_endpoints)
)
#: Offered work over the nominal capacity, in the overload experiment.
OVERLOAD_FACTORS = (0.75, 1.0, 1.25, 1.5, 2.5, 3.75)
for _factor in OVERLOAD_FACTORS:
    LOADS.register(f"x{_factor}")(Load(_constant_load(_factor)))


class ArrivalGenerator:
    """Generates the arrivals of a load."""

    def __init__(
        self, size: Size, load: Load, rates: _engine.EngineRates, seed: int
    ) -> None:
        self.size = size
        self.load = load
        self.rates = rates
        self._random = random.Random(seed)
        self._lengths: dict[tuple[int, int], int] = {}

    def arrivals(self) -> list[Arrival]:
        """Return all arrivals in order of time."""
        found: list[Arrival] = []
        for organisation in range(len(self.size.weights)):
            found.extend(self._organisation_arrivals(organisation))
        found.sort(key=lambda arrival: arrival.at_s)
        return found

    def _organisation_arrivals(
        self, organisation: int
    ) -> collections.abc.Iterator[Arrival]:
        now_s = 0.0
        for phase in self.load.phases:
            rate = self._rate_per_s(organisation, phase)
            while True:
                gap_s = self._random.expovariate(rate)
                if now_s + gap_s >= phase.until_s:
                    now_s = phase.until_s
                    break
                now_s += gap_s
                yield self._arrival(now_s, organisation, phase)

    def _rate_per_s(self, organisation: int, phase: Phase) -> float:
        share = self.size.weights[organisation] / sum(self.size.weights)
        load = phase.load
        if self.load.flood_factor and organisation == self.load.flooding_index:
            load = self.load.flood_factor
        kinds = zip(phase.kind_shares, (SHORT, CHAT, REVIEW), strict=True)
        work_s = sum(
            share_of_kind * self._mean_work_s(kind, 1.0)
            for share_of_kind, kind in kinds
        )
        return load * share * self.size.endpoints / work_s

    def _mean_work_s(self, kind: RequestKind, prompt_factor: float) -> float:
        """Return the mean engine time per request, half its history cached."""
        blocks = {"short": 0, "chat": CONVERSATION_BLOCKS / 8, "review": 80}
        prompt_tokens = kind.unshared_tokens + blocks[kind.name] * BLOCK_TOKENS
        return (
            prompt_factor * prompt_tokens / self.rates.prefill_tokens_per_s
            + kind.output_tokens / self.rates.decode_tokens_per_s()
        )

    def _arrival(
        self, now_s: float, organisation: int, phase: Phase
    ) -> Arrival:
        kind = self._random.choices((SHORT, CHAT, REVIEW), phase.kind_shares)[
            0
        ]
        unshared_tokens = int(kind.unshared_tokens * phase.prompt_factor)
        blocks = self._blocks(kind, organisation, phase.prompt_factor)
        return Arrival(
            now_s,
            organisation,
            kind,
            blocks,
            len(blocks) * BLOCK_TOKENS + unshared_tokens,
            self._output_tokens(kind),
            self._random.random() < 0.8,
        )

    def _output_tokens(self, kind: RequestKind) -> int:
        mean = kind.output_tokens
        drawn = self._random.expovariate(1.0 / mean)
        return 1 + int(min(drawn, MAX_OUTPUT_FACTOR * mean))

    def _blocks(
        self, kind: RequestKind, organisation: int, factor: float
    ) -> tuple[int, ...]:
        shared = [hash((organisation, n)) for n in range(SHARED_BLOCKS)]
        if kind is SHORT:
            return tuple(shared)
        if kind is CHAT:
            index = self._random.randrange(CONVERSATIONS)
            length = self._lengths.get((organisation, index), 0) + 2
            restarts = length // CONVERSATION_BLOCKS
            self._lengths[organisation, index] = length
            block_count = int((length % CONVERSATION_BLOCKS) * factor)
            name = (organisation, index, restarts)
        else:
            index = self._random.randrange(HISTORIES)
            block_count = int(self._random.uniform(80, 140) * factor)
            name = (organisation, -1, index)
        return (*shared, *(hash((name, n)) for n in range(block_count)))
