"""Simulated entry: the production systems between callers and agents."""

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
from . import _outcomes

#: Name of the only service.
SERVICE = "model"
#: Maximum number of requests in flight at an entry.
REQUESTS_LIMIT = 2_000
#: Interval between runs of the health system, in seconds.
HEALTH_INTERVAL_S = 0.25
#: Time between tokens of a healthy engine, in seconds.
HEALTHY_TOKEN_S = 0.03
#: Time until an entry detects that a link is dead, in seconds.
LINK_TIMEOUT_S = 1.5


@attrs.define(eq=False)
class Call:
    """One request of a caller, over all its attempts."""

    #: Request of the caller.
    arrival: _loads.Arrival
    #: Identifier of the request.
    key: str
    #: Representation of the request for the router.
    request: systems.PendingRequest
    #: Number of attempts so far.
    attempts: int = 0
    #: Whether the first token has been received.
    first_token_received: bool = False
    #: Time at which the first token was generated, in seconds.
    first_token_at_s: float = 0.0


class FakeEntry:
    """Admits, routes and retries the requests of callers."""

    def __init__(
        self,
        clock: _clock.Clock,
        name: str,
        failure_domain: str,
        policy: settings.PolicySettings,
        agents: dict[str, _agent.FakeAgent],
        outcomes: _outcomes.OutcomeRecorder,
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
        self._outcomes = outcomes
        self._delay_s = delay_s
        self._calls: dict[str, Call] = {}
        self._call_count = 0
        clock.call_every(HEALTH_INTERVAL_S, self._run_health)

    def submit(self, arrival: _loads.Arrival) -> None:
        """Process a request of a caller."""
        now_s = self._clock.now_s
        name = _loads.organisation_name(arrival.organisation)
        organisation = self.tables.of(systems.OrganisationView).get(name)
        assert organisation is not None
        call = self._create_call(arrival, name)
        tokens = arrival.prompt_tokens + call.request.output_tokens
        if not self.limiter.admit(organisation, tokens, now_s).admitted:
            self._outcomes.record_limited(arrival)
            return
        decision = self.admission.admit(self.tables, call.request, now_s)
        if decision.refusal is not None:
            self.limiter.settle(name, tokens, 0.0, now_s)
            self._outcomes.record_refused(arrival)
            return
        self._calls[call.key] = call
        self._send(call)

    def first_token(self, attempt: _agent.Attempt) -> None:
        """Record the time to the first token."""
        call = self._calls[attempt.key]
        now_s = self._clock.now_s + self._delay_s
        call.first_token_received = True
        call.first_token_at_s = self._clock.now_s
        self._outcomes.record_first_token(call.arrival, now_s)

    def ended(self, attempt: _agent.Attempt) -> None:
        """Record that the answer is complete."""
        call = self._calls[attempt.key]
        now_s = self._clock.now_s
        self._outcomes.record_answer(call.arrival, now_s + self._delay_s)
        token_s = (now_s - call.first_token_at_s) / call.arrival.output_tokens
        self.health.observe(
            health.Observation(
                call.request.endpoint_id,
                succeeded=True,
                slowness=token_s / HEALTHY_TOKEN_S,
            ),
            now_s,
        )
        self.retrier.succeeded(
            SERVICE, call.request.endpoint_id, self._clock.now_s
        )
        self._finish(call, call.arrival.prompt_tokens)

    def refused(self, attempt: _agent.Attempt, retry_after_s: float) -> None:
        """Retry at another endpoint, or refuse the request."""
        call = self._calls[attempt.key]
        self._clock.call_later(
            self._delay_s,
            functools.partial(
                self._retry_or_finish, call, False, True, retry_after_s
            ),
        )

    def failed(self, attempt: _agent.Attempt, started: bool) -> None:
        """Handle the dead link after the time that its detection takes."""
        call = self._calls[attempt.key]
        self._clock.call_later(
            LINK_TIMEOUT_S,
            functools.partial(
                self._retry_or_finish, call, started, False, 0.0
            ),
        )

    def link_state(self, endpoint_id: str, up: bool) -> None:
        """Record that a link has failed or works again."""
        view = self.tables.of(systems.EndpointView).get(endpoint_id)
        assert view is not None
        view.accepting = up
        if up:
            self.router.reset_cache(endpoint_id)

    def _create_call(self, arrival: _loads.Arrival, name: str) -> Call:
        self._call_count += 1
        key = f"{self.name}-{self._call_count}"
        request = systems.PendingRequest(
            key,
            name,
            SERVICE,
            arrival.kind.request_class,
            arrival.prompt_tokens,
            self._outcomes.expected_output(arrival),
            arrival.at_s + arrival.kind.deadline_s,
            arrival.idempotent,
            arrival.blocks,
        )
        return Call(arrival, key, request)

    def _send(self, call: Call) -> None:
        now_s = self._clock.now_s
        pending = self.tables.of(systems.PendingRequest)
        request = call.request
        request.endpoint_id = ""
        request.cached_tokens = 0
        pending.put(request)
        self.router.run(self.tables, now_s)
        pending.remove(request.key)
        call.attempts += 1
        if not request.endpoint_id:
            self._retry_or_finish(call, False, False, 1.0)
            return
        organisation = self.tables.of(systems.OrganisationView).get(
            request.organisation
        )
        assert organisation is not None
        attempt = _agent.Attempt(
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
        self._clock.call_later(
            self._delay_s, functools.partial(agent.submit, attempt)
        )

    def _retry_or_finish(
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
        if not call.first_token_received:
            delay_s = self.retrier.delay_s(
                retries.Attempt(
                    SERVICE,
                    request.endpoint_id,
                    call.attempts,
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
            self._outcomes.record_retried()
            self._clock.call_later(
                delay_s, functools.partial(self._send, call)
            )
            return
        request.endpoint_id = ""
        if started:
            self._outcomes.record_failed(call.arrival)
        else:
            self._outcomes.record_refused(call.arrival)
        self._finish(call, 0, shed, retry_after_s)

    def _finish(
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

    def _run_health(self) -> None:
        now_s = self._clock.now_s
        self.health.run(self.tables, now_s)
        for endpoint_id in self.health.probes(self.tables, now_s):
            crashed = self._agents[endpoint_id].crashed
            self.health.observe(
                health.Observation(endpoint_id, not crashed, probe=True), now_s
            )
