"""A fake entry: the product's systems between callers and agents."""

import functools

import attrs

from bilberrydeal import settings
from bilberrydeal import systems
from bilberrydeal.systems import admission
from bilberrydeal.systems import health
from bilberrydeal.systems import limits
from bilberrydeal.systems import retries
from bilberrydeal.systems import routing

from . import _agent
from . import _clock
from . import _loads
from . import _scores

#: Name of the only service.
SERVICE = "model"
#: Requests in flight at an entry.
REQUESTS_LIMIT = 2_000
#: Time between two runs of the health system, in seconds.
TICK_S = 0.25
#: Time between two tokens at an engine in good health, in seconds.
USUAL_TOKEN_S = 0.03
#: An entry notices so late that a link is dead, in seconds.
SILENT_BOUND_S = 1.5


@attrs.define(eq=False)
class Call:
    """One request of a caller, over all its tries."""

    #: What was asked for.
    arrival: _loads.Arrival
    #: Number of the request.
    key: str
    #: How the router sees it.
    request: systems.PendingRequest
    #: Tries so far.
    tries: int = 0
    #: Whether a token has come.
    answered: bool = False
    #: When the first token came.
    first_at_s: float = 0.0


class FakeEntry:
    """Takes requests and sees them through, with what it knows."""

    def __init__(
        self,
        clock: _clock.Clock,
        name: str,
        failure_domain: str,
        policy: settings.PolicySettings,
        agents: dict[str, _agent.FakeAgent],
        scores: _scores.Scores,
        seed: int,
        delay_s: float,
    ) -> None:
        self.name = name
        self.tables = systems.Tables()
        self.router = routing.ROUTERS.get(policy.routing)(
            routing.RouterOptions(
                failure_domain, seed, _loads.BLOCK_TOKENS, 2_048
            )
        )
        self.limiter = limits.LIMITERS.get(policy.limits)(name)
        self.admission = admission.ADMISSION.get(policy.admission)(
            REQUESTS_LIMIT
        )
        self.retrier = retries.RETRIERS.get(policy.retries)(seed)
        self.health = health.HEALTH.get(policy.health)(seed)
        self._clock = clock
        self._agents = agents
        self._scores = scores
        self._delay_s = delay_s
        self._calls: dict[str, Call] = {}
        self._count = 0
        clock.every(TICK_S, self._tick)

    def take(self, arrival: _loads.Arrival) -> None:
        """Take a caller's request."""
        now_s = self._clock.now_s
        name = _loads.organisation_name(arrival.organisation)
        organisation = self.tables.of(systems.OrganisationView).get(name)
        assert organisation is not None
        call = self._call(arrival, name)
        tokens = arrival.prompt_tokens + call.request.output_tokens
        if not self.limiter.admit(organisation, tokens, now_s).admitted:
            self._scores.limited(arrival)
            return
        decision = self.admission.admit(self.tables, call.request, now_s)
        if decision.refusal is not None:
            self.limiter.settle(name, tokens, 0.0, now_s)
            self._scores.refused(arrival)
            return
        self._calls[call.key] = call
        self._try(call)

    def first_token(self, sent: _agent.Sent) -> None:
        """Note the time to the first token."""
        call = self._calls[sent.key]
        now_s = self._clock.now_s + self._delay_s
        call.answered = True
        call.first_at_s = self._clock.now_s
        self._scores.first_token(call.arrival, now_s)

    def ended(self, sent: _agent.Sent) -> None:
        """Note that the answer is whole."""
        call = self._calls[sent.key]
        now_s = self._clock.now_s
        self._scores.ended(call.arrival, now_s + self._delay_s)
        token_s = (now_s - call.first_at_s) / call.arrival.output_tokens
        self.health.observe(
            health.Observation(
                call.request.endpoint_id,
                succeeded=True,
                slowness=token_s / USUAL_TOKEN_S,
            ),
            now_s,
        )
        self.retrier.succeeded(
            SERVICE, call.request.endpoint_id, self._clock.now_s
        )
        self._over(call, call.arrival.prompt_tokens)

    def refused(self, sent: _agent.Sent, retry_after_s: float) -> None:
        """Try elsewhere, or pass the refusal on."""
        call = self._calls[sent.key]
        self._clock.after(
            self._delay_s,
            functools.partial(self._again, call, False, True, retry_after_s),
        )

    def failed(self, sent: _agent.Sent, started: bool) -> None:
        """Learn after a while that the link is dead."""
        call = self._calls[sent.key]
        self._clock.after(
            SILENT_BOUND_S,
            functools.partial(self._again, call, started, False, 0.0),
        )

    def link_state(self, endpoint_id: str, up: bool) -> None:
        """Note that a link is dead or works again."""
        view = self.tables.of(systems.EndpointView).get(endpoint_id)
        assert view is not None
        view.accepting = up
        if up:
            self.router.reset_cache(endpoint_id)

    def _call(self, arrival: _loads.Arrival, name: str) -> Call:
        self._count += 1
        key = f"{self.name}-{self._count}"
        request = systems.PendingRequest(
            key,
            name,
            SERVICE,
            arrival.kind.request_class,
            arrival.prompt_tokens,
            self._scores.expected_output(arrival),
            arrival.at_s + arrival.kind.deadline_s,
            arrival.idempotent,
            arrival.blocks,
        )
        return Call(arrival, key, request)

    def _try(self, call: Call) -> None:
        now_s = self._clock.now_s
        pending = self.tables.of(systems.PendingRequest)
        request = call.request
        request.endpoint_id = ""
        request.cached_tokens = 0
        pending.put(request)
        self.router.run(self.tables, now_s)
        pending.remove(request.key)
        call.tries += 1
        if not request.endpoint_id:
            self._again(call, False, False, 1.0)
            return
        organisation = self.tables.of(systems.OrganisationView).get(
            request.organisation
        )
        assert organisation is not None
        sent = _agent.Sent(
            call.arrival,
            call.key,
            request.organisation,
            organisation.weight * request.weight_factor,
            request.deadline_s - 2 * self._delay_s,
            request.output_tokens,
            request.cached_tokens,
            self,
        )
        agent = self._agents[request.endpoint_id]
        self._clock.after(self._delay_s, functools.partial(agent.submit, sent))

    def _again(
        self, call: Call, started: bool, shed: bool, retry_after_s: float
    ) -> None:
        now_s = self._clock.now_s
        request = call.request
        if request.endpoint_id:
            self.router.record_end(self.tables, request, now_s)
            if not shed:
                self.health.observe(
                    health.Observation(request.endpoint_id, False), now_s
                )
        delay_s = None
        if not call.answered:
            delay_s = self.retrier.delay_s(
                retries.Attempt(
                    SERVICE,
                    request.endpoint_id,
                    call.tries,
                    started,
                    request.idempotent,
                    request.deadline_s,
                ),
                now_s,
            )
        if delay_s is not None:
            request.tried_endpoint_ids = request.tried_endpoint_ids | {
                request.endpoint_id
            }
            self._scores.retried()
            self._clock.after(delay_s, functools.partial(self._try, call))
            return
        request.endpoint_id = ""
        if started:
            self._scores.failed(call.arrival)
        else:
            self._scores.refused(call.arrival)
        self._over(call, 0, shed, retry_after_s)

    def _over(
        self,
        call: Call,
        prompt_tokens: int,
        shed: bool = False,
        retry_after_s: float = 0.0,
    ) -> None:
        now_s = self._clock.now_s
        request = call.request
        if request.endpoint_id:
            self.router.record_end(self.tables, request, now_s)
        tokens = request.prompt_tokens + request.output_tokens
        actual = prompt_tokens and prompt_tokens + call.arrival.output_tokens
        self.limiter.settle(request.organisation, tokens, actual, now_s)
        self.admission.release(request, now_s, shed, retry_after_s)
        del self._calls[call.key]

    def _tick(self) -> None:
        now_s = self._clock.now_s
        self.health.run(self.tables, now_s)
        for endpoint_id in self.health.probes(self.tables, now_s):
            lost = self._agents[endpoint_id].lost
            self.health.observe(
                health.Observation(endpoint_id, not lost, probe=True), now_s
            )
