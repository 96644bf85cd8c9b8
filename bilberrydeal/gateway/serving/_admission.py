"""Validates requests and selects their route and service."""

import random

from ... import catalogue
from ... import errors
from ... import http1
from ... import platform
from .. import cluster_state
from .. import core

#: Retry-After until the first configuration is loaded, in seconds.
STARTUP_RETRY_S = 0.3
#: Retry-After while a newer configuration is on its way, in seconds.
OUTDATED_RETRY_S = 0.4
_HOST = b"host"
#: Refusals that the newest configuration may not give.
_DENIALS = frozenset(
    [errors.ErrorCode.UNKNOWN_ROUTE, errors.ErrorCode.KEY_REJECTED]
)


class Admission:
    """Admits requests according to the configuration in force."""

    def __init__(
        self, cluster: cluster_state.ClusterState, rng: random.Random
    ) -> None:
        self._cluster = cluster
        self._rng = rng

    def admit(
        self,
        request: http1.Request,
        caller: platform.CallerFields,
        now_s: float,
    ) -> core.AdmittedRequest:
        """Return the admitted request; raises ``Refusal``.

        A configuration that may be outdated denies nothing: the caller may
        come back once it is known to be the newest. It still serves, until a
        newer one that is on its way should have been applied.
        """
        try:
            return self._admit(request, caller, now_s)
        except errors.Refusal as refusal:
            freshness = self._cluster.configuration_freshness
            if refusal.reason in _DENIALS and not freshness.may_deny(now_s):
                raise _outdated_refusal() from refusal
            raise

    def configuration_age(self, now_s: float) -> core.ConfigurationAge:
        """Return how recent the configuration is that decides now."""
        freshness = self._cluster.configuration_freshness
        return core.ConfigurationAge(
            freshness.age_s(now_s), freshness.waiting_s(now_s)
        )

    def _admit(
        self,
        request: http1.Request,
        caller: platform.CallerFields,
        now_s: float,
    ) -> core.AdmittedRequest:
        configuration = self._cluster.configuration
        if configuration is None:
            raise core.not_run_refusal(
                errors.ErrorCode.NO_ENDPOINT,
                "no configuration has been loaded yet",
                STARTUP_RETRY_S,
            )
        if not caller.request_id or request.count(_HOST) != 1:
            raise _refusal(errors.ErrorCode.BAD_REQUEST, 400)
        if not self._cluster.configuration_freshness.may_use(now_s):
            raise _outdated_refusal()
        route = self._cluster.routes.find(
            request.header(_HOST) or b"", request.path
        )
        if route is None:
            raise _refusal(errors.ErrorCode.UNKNOWN_ROUTE, 404)
        organisation = _organisation(configuration, route, caller.key)
        timeout_s = min(caller.timeout_s, route.timeout_s)
        return core.AdmittedRequest(
            request=request,
            request_id=caller.request_id,
            route=route,
            service=self._service(route),
            organisation=organisation,
            deadline_s=request.started_s + timeout_s,
            prompt=caller.prompt,
            last_event=caller.last_event,
            configuration_version=configuration.version,
            configuration_age=self.configuration_age(now_s),
            token_counts=caller.token_counts,
            resumed_id=caller.resumed_id,
        )

    def _service(self, route: catalogue.Route) -> str:
        if len(route.splits) == 1:
            return route.splits[0].service
        if not route.splits:
            raise _refusal(errors.ErrorCode.UNKNOWN_ROUTE, 404)
        chosen = self._rng.choices(
            route.splits, [split.weight for split in route.splits]
        )
        return chosen[0].service


def _organisation(
    configuration: catalogue.Configuration,
    route: catalogue.Route,
    key: bytes | None,
) -> catalogue.Organisation | None:
    if configuration.organisations is None:
        return None
    if key is not None and key in configuration.organisations:
        return configuration.organisations[key]
    if route.public:
        return None
    raise _refusal(errors.ErrorCode.KEY_REJECTED, 401)


def _outdated_refusal() -> errors.Refusal:
    return core.not_run_refusal(
        errors.ErrorCode.CONFIGURATION_OUTDATED,
        "a newer configuration is not known yet",
        OUTDATED_RETRY_S,
    )


def _refusal(reason: errors.ErrorCode, status: int) -> errors.Refusal:
    return errors.Refusal(reason=reason, message="", status=status)
