"""Software versions that other gateways may not know of yet."""

import collections.abc

#: Engines of a new version begin no streams until what other gateways knew
#: before it joined is no longer fresh, and so much longer, in seconds. Those
#: know the version by then, or know that they may lack one.
HOLD_EXTRA_S = 0.2


class NewVersions:
    """When this gateway first saw each software version of a service.

    Example::

        versions = NewVersions(fresh_s=3.0)
        versions.observe("llm", {"v1"}, 10.0)
        versions.observe("llm", {"v1", "v2"}, 20.0)
        versions.held("llm", {"v1", "v2"}, 21.0)  # {"v2"}
    """

    def __init__(self, fresh_s: float) -> None:
        #: Time for which engines of a new version begin no streams, in
        #: seconds.
        self.hold_s = fresh_s + HOLD_EXTRA_S
        #: When each present version was first seen, monotonic seconds.
        self._seen_s: dict[str, dict[str, float]] = {}
        #: When gateways that ran before saw versions, by service, monotonic
        #: seconds.
        self._learned_s: dict[str, dict[str, float]] = {}

    def observe(
        self,
        service: str,
        versions: collections.abc.Iterable[str],
        now_s: float,
    ) -> None:
        """Record all versions whose engines are listed now.

        One that comes back is new again: others may have missed it before.
        """
        before = self._seen_s.get(service, {})
        learned = self._learned_s.pop(service, {})
        self._seen_s[service] = {
            version: min(
                before.get(version, now_s), learned.get(version, now_s)
            )
            for version in versions
        }

    def learn(self, service: str, version: str, seen_s: float) -> None:
        """Record when another gateway saw a version first."""
        self._learned_s.setdefault(service, {})[version] = seen_s

    def held(
        self,
        service: str,
        decoding: collections.abc.Set[str],
        now_s: float,
    ) -> frozenset[str]:
        """Return the versions at which no stream may begin.

        A version is new only beside one of ``decoding`` that was seen before.
        """
        seen_s = self._seen_s.get(service, {})
        oldest_s = min(
            (seen_s[version] for version in decoding if version in seen_s),
            default=float("inf"),
        )
        return frozenset(
            version
            for version, first_s in seen_s.items()
            if oldest_s < first_s and now_s - first_s < self.hold_s
        )
