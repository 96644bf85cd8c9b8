"""Decides at which software versions of a service no stream begins."""

import collections.abc

import attrs

from ... import systems
from . import _lone_versions
from . import _new_versions
from . import _upstream

#: Interval between two decisions, in seconds.
DECISION_INTERVAL_S = 0.1


@attrs.frozen
class HeldVersions:
    """Versions of a service at which streams don't begin."""

    #: Those at which none may begin.
    versions: frozenset[str]
    #: Those at which none begins while others take it.
    avoided: frozenset[str]
    #: When to decide anew, monotonic seconds.
    until_s: float


def decide(
    service: str,
    upstreams: collections.abc.Collection[_upstream.Upstream],
    new_versions: _new_versions.NewVersions,
    now_s: float,
) -> HeldVersions:
    """Decide at which versions of a service's engines no stream begins.

    ``upstreams`` are all its engines, which are recorded in
    ``new_versions``.
    """
    present = {each.endpoint.software_version for each in upstreams}
    new_versions.observe(service, present, now_s)
    decoding = [
        each
        for each in upstreams
        if each.decodes
        and each.view.available
        and each.view.circuit is systems.CircuitState.CLOSED
    ]
    held = new_versions.held(
        service,
        {each.endpoint.software_version for each in decoding},
        now_s,
    )
    beginning = [
        each
        for each in decoding
        if each.endpoint.software_version not in held
        and not each.changing_role(now_s)
        and not each.failed
    ]
    return HeldVersions(
        held,
        _lone_versions.lone_versions(upstreams, beginning),
        now_s + DECISION_INTERVAL_S,
    )
