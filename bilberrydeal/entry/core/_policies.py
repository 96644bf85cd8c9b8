"""The policy systems that the settings select."""

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
    """The policy systems of one entry, one of each kind."""

    router: routing.Router
    retrier: retries.Retrier
    health: health.HealthSystem
    limiter: limits.Limiter
    admission: admission.AdmissionControl
    subset: subsets.SubsetChooser


def build_policies(
    entry_settings: settings.EntrySettings, entry: str, seed: int
) -> Policies:
    """Return the selected systems, or raise ``UnknownName``."""
    names = entry_settings.policy
    options = routing.RouterOptions(
        failure_domain=entry_settings.failure_domain,
        seed=seed,
        block_tokens=prefixes.BLOCK_TOKENS,
    )
    return Policies(
        router=routing.ROUTERS.get(names.routing)(options),
        retrier=retries.RETRIERS.get(names.retries)(seed),
        health=health.HEALTH.get(names.health)(seed),
        limiter=limits.LIMITERS.get(names.limits)(entry),
        admission=admission.ADMISSION.get(names.admission)(
            entry_settings.requests_limit
        ),
        subset=subsets.SUBSETS.get(names.subset)(),
    )
