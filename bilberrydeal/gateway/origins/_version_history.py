"""Software versions that were in service lately."""

import collections.abc


class VersionHistory:
    """Software versions of the engines of each service, now and lately.

    Example::

        history.observe("llm", {"v1", "v2"}, now_s)
        history.recent("llm", now_s)  # {"v1", "v2"}
    """

    def __init__(self, kept_s: collections.abc.Callable[[], float]) -> None:
        #: Returns for how long a stream may be resumed, in seconds.
        self._kept_s = kept_s
        #: When each version was last in service, monotonic seconds.
        self._seen_s: dict[str, dict[str, float]] = {}

    def observe(
        self,
        service: str,
        versions: collections.abc.Iterable[str],
        at_s: float,
    ) -> None:
        """Record that versions were in service at a time."""
        seen_s = self._seen_s.setdefault(service, {})
        for version in versions:
            seen_s[version] = max(seen_s.get(version, at_s), at_s)

    def recent(self, service: str, now_s: float) -> set[str]:
        """Return the versions that may have begun streams of callers."""
        return {
            version
            for version, seen_s in self._seen_s.get(service, {}).items()
            if now_s - seen_s < self._kept_s()
        }

    def mixed(self, now_s: float) -> bool:
        """Return whether any service had several versions lately."""
        return bool(self.mixed_services(now_s))

    def mixed_services(self, now_s: float) -> list[str]:
        """Return the services that had several versions lately."""
        return [
            service
            for service in self._seen_s
            if len(self.recent(service, now_s)) > 1
        ]
