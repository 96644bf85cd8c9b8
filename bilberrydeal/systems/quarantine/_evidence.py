"""What speaks against one part of prompts."""

import attrs

from . import _base
from . import _crashes

#: Crashes from which on a request is not sent to a second engine.
SUSPECTED_CRASHES = 3
#: Crashes that quarantine a part if they are of several requests and in
#: several failure domains.
CRASHES = 4
REQUESTS = 2
FAILURE_DOMAINS = 2
#: Crashes that suffice in any case.
ANY_CRASHES = 5
#: Crashes that suffice against one request, which is the same each time.
REQUEST_CRASHES = 3
#: Those of them that no other quarantine explains.
UNEXPLAINED_CRASHES = 2
#: Time for other gateways to contradict, in seconds.
SETTLE_S = 0.5
#: The same if few of the lost responses had started, or if it was completed
#: before: a part that never was may explain the crashes, in seconds.
UNSTARTED_SETTLE_S = 1.5


@attrs.frozen
class Evidence:
    """What speaks against one part."""

    part: bytes
    #: Independent crashes.
    crashes: tuple[_crashes.Crash, ...]
    #: Crashes among them that no quarantine explains.
    unexplained: int
    #: Crashes in which a response with the part had started.
    started: int
    #: Number of different requests.
    requests: int
    #: Whether it was completed before these crashes.
    once_sound: bool = False

    @property
    def suspicious(self) -> bool:
        """Return whether a request must not be sent to a second engine."""
        return (
            len(self.crashes) >= SUSPECTED_CRASHES
            and self.unexplained >= UNEXPLAINED_CRASHES
        )

    @property
    def suffices(self) -> bool:
        """Return whether it suffices for a quarantine."""
        if self.unexplained < UNEXPLAINED_CRASHES:
            return False
        if _base.is_request(self.part):
            return len(self.crashes) >= REQUEST_CRASHES
        if len(self.crashes) >= ANY_CRASHES:
            return True
        domains = {crash.failure_domain for crash in self.crashes}
        return (
            len(self.crashes) >= CRASHES
            and self.requests >= REQUESTS
            and len(domains) >= FAILURE_DOMAINS
        )

    @property
    def settle_s(self) -> float:
        """Return the time for other gateways to contradict."""
        if 2 * self.started >= len(self.crashes) and not self.once_sound:
            return SETTLE_S
        return UNSTARTED_SETTLE_S

    @property
    def weight(self) -> tuple[bool, int, int, int, bytes]:
        """Return the order among parts of the same crashes."""
        return (
            not self.once_sound,
            len(self.crashes),
            self.started,
            self.requests,
            self.part,
        )

    @property
    def engines(self) -> tuple[str, ...]:
        """Return the engines that crashed."""
        return tuple(crash.process for crash in self.crashes)
