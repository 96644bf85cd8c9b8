"""Admits callers' requests, or refuses them as not run."""

import asyncio
import collections.abc
import typing

import attrs

from ... import configuration
from ... import errors
from ... import keys
from ... import link
from ... import prefixes
from ... import settings
from ... import systems
from . import _bodies
from . import _callers
from . import _demand
from . import _policies
from . import _work

#: Label of requests on routes open to all.
OPEN_ORGANISATION = ""
#: Refusals by which endpoints shed load.
SHED_REASONS = frozenset(
    [errors.ErrorCode.OVERLOADED, errors.ErrorCode.DEADLINE_HOPELESS]
)


class KeysFresh(typing.Protocol):
    """Knows whether withdrawals up to now are known here."""

    def require(self, now_s: float) -> None:
        """Raise a refusal where they may not be."""


@attrs.define(eq=False)
class Admitted:
    """A request that was let in; released once, when it has ended."""

    work: _work.Work
    pending: systems.PendingRequest
    #: Tokens taken out of the limits.
    tokens: float
    #: Public name of the key, empty on an open route.
    key_id: str
    #: The task that serves it.
    task: asyncio.Task[typing.Any] | None = None
    #: Whether its key was withdrawn while it ran.
    revoked: bool = False


class Gate:
    """Checks route, key, deadline, limits and load, in this order."""

    def __init__(
        self,
        next_number: collections.abc.Callable[[], link.RequestNumber],
        chosen: settings.EntrySettings,
        current: collections.abc.Callable[[], configuration.Configuration],
        directory: keys.KeyDirectory,
        fresh: KeysFresh,
        policies: _policies.Policies,
        tables: systems.Tables,
        demand: _demand.DemandMeter,
    ) -> None:
        self._demand = demand
        self._settings = chosen
        self._current = current
        self._directory = directory
        self._fresh = fresh
        self._policies = policies
        self._tables = tables
        self._next_number = next_number
        self._running: set[Admitted] = set()
        #: Set while shutting down: nothing new is let in.
        self.closing = False

    @property
    def in_flight(self) -> int:
        """Requests that were let in and have not ended."""
        return len(self._running)

    def route(self, caller: _callers.CallerRequest) -> configuration.Route:
        """Return the route of a request, or raise a refusal."""
        if self.closing:
            raise errors.Refusal(
                reason=errors.ErrorCode.SHUTTING_DOWN,
                sentence="This entry is shutting down; use another.",
                status=503,
                retry_after_s=0.0,
            )
        current = self._current()
        return _callers.find_route(current.routes, caller.method, caller.path)

    def identify(
        self,
        caller: _callers.CallerRequest,
        route: configuration.Route,
        now_s: float,
    ) -> configuration.KeyRecord | None:
        """Return the caller's key, ``None`` on a route open to all."""
        if route.access is configuration.Access.OPEN:
            return None
        self._fresh.require(now_s)
        return self._directory.authenticate(caller.authorization)

    def admit_generation(
        self,
        caller: _callers.CallerRequest,
        route: configuration.Route,
        key: configuration.KeyRecord | None,
        generation: _bodies.Generation,
        now_s: float,
    ) -> Admitted:
        """Let a generation in, or raise a refusal."""
        model = self._current().models.get(generation.model)
        if model is None:
            raise errors.Refusal(
                reason=errors.ErrorCode.UNKNOWN_MODEL,
                sentence="No model has this name.",
                status=404,
            )
        work = attrs.evolve(
            self._new_work(caller, route, key),
            service=model.service,
            idempotent=True,
            generation=generation,
            streamed=generation.stream,
            prompt_tokens=prefixes.estimate_tokens(generation.prompt),
            blocks=prefixes.block_hashes(generation.prompt),
            output_share=self._demand.output_share(model.service),
        )
        if model.request_class is not None:
            work = attrs.evolve(work, request_class=model.request_class)
        return self._admit(work, key, now_s)

    def admit_plain(
        self,
        caller: _callers.CallerRequest,
        route: configuration.Route,
        key: configuration.KeyRecord | None,
        now_s: float,
    ) -> Admitted:
        """Let a call of a plain service in, or raise a refusal."""
        work = attrs.evolve(
            self._new_work(caller, route, key),
            plain=_work.PlainCall(
                method=caller.method,
                path=caller.target,
                content_type=caller.content_type,
                body=caller.body,
            ),
        )
        return self._admit(work, key, now_s)

    def release(
        self,
        admitted: Admitted,
        actual_tokens: float,
        refusal: errors.Refusal | None,
        now_s: float,
    ) -> None:
        """Note that a request has ended, how, and what it used."""
        self._running.discard(admitted)
        shed = refusal is not None and refusal.reason in SHED_REASONS
        self._policies.admission.release(
            admitted.pending,
            now_s,
            shed=shed,
            retry_after_s=(refusal.retry_after_s or 0.0) if refusal else 0.0,
        )
        if admitted.key_id:
            self._policies.limiter.settle(
                admitted.work.organisation,
                admitted.tokens,
                actual_tokens,
                now_s,
            )

    def revoke(self, key_ids: collections.abc.Container[str]) -> None:
        """End running generations whose key is among ``key_ids``.

        A call of a plain service that was let in before is left to end: it
        cannot be undone, and its answer says what happened.
        """
        for admitted in list(self._running):
            if admitted.key_id not in key_ids or admitted.work.plain:
                continue
            admitted.revoked = True
            if admitted.task is not None:
                admitted.task.cancel()

    def _new_work(
        self,
        caller: _callers.CallerRequest,
        route: configuration.Route,
        key: configuration.KeyRecord | None,
    ) -> _work.Work:
        organisation = key.organisation if key else OPEN_ORGANISATION
        row = self._current().organisations.get(organisation)
        http = self._settings.http
        return _work.Work(
            number=self._next_number(),
            organisation=organisation,
            weight=row.weight if row else 1.0,
            route=route.name,
            service=route.service,
            request_class=route.request_class,
            deadline_s=_callers.deadline_s(
                caller, route, http.default_deadline_s, http.longest_deadline_s
            ),
            idempotent=route.idempotent,
            claim=_callers.idempotency_key(caller),
            traceparent=caller.headers.get(_callers.TRACE_HEADER, ""),
        )

    def _admit(
        self,
        work: _work.Work,
        key: configuration.KeyRecord | None,
        now_s: float,
    ) -> Admitted:
        pending = work.pending(frozenset())
        tokens = float(work.prompt_tokens + work.output_tokens)
        self._demand.offered(
            work.service, work.prompt_tokens, work.output_tokens
        )
        if key is not None:
            self._limit(work, tokens, now_s)
        verdict = self._policies.admission.admit(self._tables, pending, now_s)
        if verdict.refusal is not None:
            if key is not None:
                self._policies.limiter.settle(
                    work.organisation, tokens, 0.0, now_s
                )
            raise errors.Refusal(
                reason=verdict.refusal,
                sentence="The service cannot answer this in time now.",
                status=503,
                retry_after_s=verdict.retry_after_s,
            )
        admitted = Admitted(work, pending, tokens, key.key_id if key else "")
        admitted.task = asyncio.current_task()
        self._running.add(admitted)
        return admitted

    def _limit(self, work: _work.Work, tokens: float, now_s: float) -> None:
        view = self._tables.of(systems.OrganisationView).get(work.organisation)
        if view is None:
            return
        found = self._policies.limiter.admit(view, tokens, now_s)
        if not found.admitted:
            raise errors.Refusal(
                reason=errors.ErrorCode.LIMIT_REACHED,
                sentence=f"The organisation's limit of {found.limit} is met.",
                status=429,
                retry_after_s=found.retry_after_s,
            )
