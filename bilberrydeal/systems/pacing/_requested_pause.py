"""A pause for which an endpoint has asked its callers."""

import math
import zlib

import attrs

#: Requests in flight at an endpoint after a pause until it accepts one.
TRIAL_REQUESTS = 2
#: Share of a pause over which callers that were refused come back.
SPREAD_SHARE = 0.25
#: Longest time over which they come back, in seconds.
SPREAD_LIMIT_S = 2.0


@attrs.define
class RequestedPause:
    """Keeps requests from an endpoint that wants none for a time.

    After the pause it gets few requests until it has accepted one, so that
    not all that waited reach it at once.

    Example::

        pause = RequestedPause()
        pause.request(5.0, now_s)
        pause.permits(in_flight=0, now_s=now_s + 1.0)  # False
    """

    #: End of the pause, monotonic seconds.
    until_s: float = -math.inf
    #: Whether no request was accepted since.
    on_trial: bool = False

    def request(self, pause_s: float, now_s: float) -> None:
        """Begin a pause, or extend the present one."""
        self.until_s = max(self.until_s, now_s + pause_s)
        self.on_trial = True

    def accepted(self, now_s: float) -> None:
        """Record that the endpoint accepted a request after the pause."""
        if now_s >= self.until_s:
            self.on_trial = False

    def left_s(self, now_s: float) -> float:
        """Return the rest of the pause, in seconds; 0 if there is none."""
        return max(self.until_s - now_s, 0.0)

    def permits(self, in_flight: int, now_s: float) -> bool:
        """Return whether a request may be sent now."""
        if now_s < self.until_s:
            return False
        return not self.on_trial or in_flight < TRIAL_REQUESTS


def retry_after_s(left_s: float, request_id: bytes) -> float:
    """Return when a refused caller should come back, in seconds.

    That is after the pause, spread by the request so that callers do not come
    back together.
    """
    spread_s = min(left_s * SPREAD_SHARE, SPREAD_LIMIT_S)
    return left_s + spread_s * zlib.crc32(request_id) / 2**32
