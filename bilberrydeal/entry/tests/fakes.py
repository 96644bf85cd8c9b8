"""Fakes of links and the link pool that play scripted answers."""

import asyncio
import collections.abc
import itertools

import attrs

from bilberrydeal import errors
from bilberrydeal import link
from bilberrydeal import settings
from bilberrydeal import systems
from bilberrydeal import telemetry
from bilberrydeal.entry.core import _billing
from bilberrydeal.entry.core import _dispatch
from bilberrydeal.entry.core import _policies
from bilberrydeal.entry.core import _request
from bilberrydeal.entry.core import _traces
from bilberrydeal.systems import admission
from bilberrydeal.systems import health
from bilberrydeal.systems import limits
from bilberrydeal.systems import retries
from bilberrydeal.systems import routing
from bilberrydeal.systems import subsets

Script = list[link.Chunk | link.Finished | link.Refused | Exception]


#: Shared by all harnesses, since two entries never use the same number.
_SEQUENCES = itertools.count(1)


class FakeLink:
    """Answers each request with the next script."""

    def __init__(self, endpoint_id: str, *scripts: Script) -> None:
        self.endpoint_id = endpoint_id
        self.agent = f"{endpoint_id}-agent"
        self.connected = True
        self.submitted: list[link.Submit] = []
        self.cancelled: list[int] = []
        self.cancel_outcome: link.CancelOutcome | None = (
            link.CancelOutcome.NOT_STARTED
        )
        self.query_result: link.QueryResult | None = None
        self.on_submit: collections.abc.Callable[[], object] = lambda: None
        self._scripts = list(scripts)

    def submit(self, request: link.Submit) -> "FakeCall":
        self.submitted.append(request)
        self.on_submit()
        script = self._scripts.pop(0)
        if script and isinstance(script[0], link.LinkDown):
            raise script[0]
        return FakeCall(request.number.sequence, script)

    async def cancel(
        self, sequence: int, timeout_s: float
    ) -> link.CancelOutcome | None:
        self.cancelled.append(sequence)
        return self.cancel_outcome

    async def query(
        self, number: link.RequestNumber, timeout_s: float, agent: str = ""
    ) -> link.QueryResult | None:
        return self.query_result


class FakeCall:
    """Yields the events of a script, then blocks until expired."""

    def __init__(self, sequence: int, script: Script) -> None:
        self.sequence = sequence
        self._script = script
        self._expired = asyncio.Event()

    async def events(
        self,
    ) -> collections.abc.AsyncGenerator[
        link.Chunk | link.Finished | link.Refused, None
    ]:
        for event in self._script:
            if isinstance(event, Exception):
                raise event
            yield event
        await self._expired.wait()
        raise link.CallExpired(sequence=self.sequence)

    def expire(self) -> None:
        self._expired.set()


class FakePool:
    """A pool of fake links by endpoint."""

    def __init__(self, *links: FakeLink) -> None:
        self.links = {fake_link.endpoint_id: fake_link for fake_link in links}

    def get(self, endpoint_id: str) -> FakeLink | None:
        return self.links.get(endpoint_id)


class PrefillDecodeRouter(routing.Router):
    """Chooses endpoint a for prefill and endpoint b for decode."""

    def __init__(self) -> None:
        super().__init__(routing.RouterOptions("fd1"))

    def choose(
        self,
        candidates: list[systems.EndpointView],
        request: systems.PendingRequest,
        now_s: float,
    ) -> systems.EndpointView:
        request.prefill_endpoint_id = "a"
        return next(view for view in candidates if view.endpoint_id == "b")


class FirstRouter(routing.Router):
    """Chooses the first endpoint that was not tried."""

    def __init__(self) -> None:
        super().__init__(routing.RouterOptions("fd1"))

    def choose(
        self,
        candidates: list[systems.EndpointView],
        request: systems.PendingRequest,
        now_s: float,
    ) -> systems.EndpointView:
        return min(candidates, key=lambda view: view.endpoint_id)


@attrs.define
class DispatcherHarness:
    """Builds a dispatcher over fake links and records its billing calls."""

    links: tuple[FakeLink, ...]
    lost_requests: list[_billing.LostRequest] = attrs.Factory(list)
    answered_requests: list[_billing.AnsweredRequest] = attrs.Factory(list)

    def on_request_lost(self, lost: _billing.LostRequest) -> None:
        self.lost_requests.append(lost)

    def on_request_answered(self, answer: _billing.AnsweredRequest) -> None:
        self.answered_requests.append(answer)

    def dispatcher(
        self, router: routing.Router | None = None
    ) -> _dispatch.Dispatcher:
        tables = systems.Tables()
        for fake_link in self.links:
            tables.of(systems.EndpointView).put(
                systems.EndpointView(fake_link.endpoint_id, "fd1", "m")
            )
        return _dispatch.Dispatcher(
            FakePool(*self.links),  # type: ignore[arg-type]
            tables,
            attrs.evolve(policies(), router=router) if router else policies(),
            lambda: link.RequestNumber("entry", next(_SEQUENCES)),
            self,
            _traces.RequestTraces(asyncio.get_running_loop().time),
            telemetry.Tracing(settings.TraceSettings(), "entry"),
            asyncio.get_running_loop().time,
        )


def policies() -> _policies.Policies:
    """Return deterministic policies."""
    return _policies.Policies(
        router=routing.ROUTERS.get("round_robin")(
            routing.RouterOptions("fd1")
        ),
        retrier=retries.RETRIERS.get("budgeted")(1),
        health=health.HEALTH.get("never")(1),
        limiter=limits.LIMITERS.get("local_only")("entry"),
        admission=admission.ADMISSION.get("bounded")(2),
        subset=subsets.SUBSETS.get("weighted_rendezvous")(),
    )


def plain_request(
    deadline_s: float = 1e9, **changes: object
) -> _request.AdmittedRequest:
    """Return a call of a plain service."""
    request = _request.AdmittedRequest(
        number=link.RequestNumber("entry", 0),
        organisation="russo",
        weight=1.0,
        route="deposit",
        service="m",
        request_class=0,
        deadline_s=deadline_s,
        idempotent=False,
        plain=_request.PlainCall("POST", "/deposit", "", b"kid"),
    )
    return attrs.evolve(request, **changes)  # type: ignore[arg-type]


def finished(body: bytes = b"ok") -> link.Finished:
    """Return the final event of an answer."""
    return link.Finished(sequence=1, chunk=1, status=200, body=body)


def refused(started: bool) -> link.Refused:
    """Return a refusal due to overload."""
    return link.Refused(
        sequence=1,
        chunk=1,
        reason=errors.ErrorCode.OVERLOADED.value,
        started=started,
    )


def entry_settings() -> settings.EntrySettings:
    """Return default entry settings."""
    adapter = settings.AdapterSettings("http_json", "http://127.0.0.1:1")
    return settings.EntrySettings(
        role="entry",
        host_id="h1",
        listen_address="127.0.0.1",
        advertise_address="127.0.0.1",
        failure_domain="fd1",
        http=settings.HttpSettings(port=1),
        peer_port=2,
        platform=settings.PlatformSettings(*[adapter] * 6),
        secrets=settings.SecretSettings("a", "b", "c"),
    )
