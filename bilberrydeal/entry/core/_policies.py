"""The deciding systems that settings choose."""

import attrs

from ... import prefixes
from ... import settings
from ...systems import admission
from ...systems import health
from ...systems import limits
from ...systems import retries
from ...systems import routing
from ...systems import subsets


@attrs.frozen
class Policies:
    """One of each kind, made for one entry."""

    router: routing.Router
    retrier: retries.Retrier
    health: health.HealthSystem
    limiter: limits.Limiter
    admission: admission.AdmissionControl
    subset: subsets.SubsetChooser


def build_policies(
    chosen: settings.EntrySettings, entry: str, seed: int
) -> Policies:
    """Return the systems that the settings name, or raise ``UnknownName``."""
    names = chosen.policy
    options = routing.RouterOptions(
        failure_domain=chosen.failure_domain,
        seed=seed,
        block_tokens=prefixes.BLOCK_TOKENS,
    )
    return Policies(
        router=routing.ROUTERS.get(names.routing)(options),
        retrier=retries.RETRIERS.get(names.retries)(seed),
        health=health.HEALTH.get(names.health)(seed),
        limiter=limits.LIMITERS.get(names.limits)(entry),
        admission=admission.ADMISSION.get(names.admission)(
            chosen.requests_limit
        ),
        subset=subsets.SUBSETS.get(names.subset)(),
    )
