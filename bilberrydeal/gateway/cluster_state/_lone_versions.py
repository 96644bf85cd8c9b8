"""Software versions of which a single engine decodes."""

import collections
import collections.abc

from ...systems import placement
from . import _upstream

#: Largest share of a service's decode engines that may begin no streams.
MAX_LONE_SHARE = 1 / 3
#: The same as a multiple of the free share of the others' slots.
MAX_LONE_PER_FREE_SHARE = 0.5


def lone_versions(
    upstreams: collections.abc.Collection[_upstream.Upstream],
    decoding: collections.abc.Collection[_upstream.Upstream],
) -> frozenset[str]:
    """Return the versions at which streams should rather not begin.

    Streams of a version could not go on if its only decode engine were lost,
    though other engines of it serve. ``decoding`` are the engines that may
    begin streams, out of all ``upstreams`` of a service. None is returned
    unless the decode engines of other versions have slots enough.
    """
    serving = _by_version(upstreams)
    counts = _by_version(decoding)
    lone = frozenset(
        version
        for version, count in counts.items()
        if count < placement.DECODE_PAIR <= serving[version]
    )
    others = [
        each
        for each in decoding
        if counts[each.endpoint.software_version] >= placement.DECODE_PAIR
    ]
    if not lone or not others:
        return frozenset()
    free_share = 1.0 - _used_share(decoding, others)
    limit = min(MAX_LONE_SHARE, free_share * MAX_LONE_PER_FREE_SHARE)
    return lone if len(lone) <= len(decoding) * limit else frozenset()


def _by_version(
    upstreams: collections.abc.Iterable[_upstream.Upstream],
) -> collections.Counter[str]:
    return collections.Counter(
        each.endpoint.software_version
        for each in upstreams
        if each.endpoint.ready
    )


def _used_share(
    decoding: collections.abc.Iterable[_upstream.Upstream],
    others: collections.abc.Iterable[_upstream.Upstream],
) -> float:
    """Return the share of the others' slots that all requests would use."""
    requests = sum(each.load.requests for each in decoding if each.load)
    slots = sum(each.load.slots for each in others if each.load)
    return requests / max(slots, 1)
