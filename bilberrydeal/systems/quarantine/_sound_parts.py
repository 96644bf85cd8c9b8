"""Parts under which engines generate."""

import collections

from . import _base

#: Most parts of each kind remembered; those not used for longest yield.
LIMIT = 16_384
#: Time after which a part that is no longer used is forgotten, in seconds.
KEPT_S = 600.0


class SoundParts:
    """Remembers parts under which a stream was completed.

    Most requests come once, so that they would displace the parts of prompts
    if both were remembered together.
    """

    def __init__(self) -> None:
        self._parts_s: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self._requests_s: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )

    def add(self, part: bytes, now_s: float) -> None:
        """Record a part of a completed stream."""
        seen_s = self._of_kind(part)
        seen_s[part] = now_s
        seen_s.move_to_end(part)
        if len(seen_s) > LIMIT:
            seen_s.popitem(last=False)

    def knows(self, part: bytes, now_s: float) -> bool:
        """Return whether a stream with a part was completed."""
        seen_s = self._of_kind(part).get(part)
        return seen_s is not None and now_s - seen_s < KEPT_S

    def completed_since(self, part: bytes, at_s: float) -> bool:
        """Return whether a stream with a part was completed since a time."""
        seen_s = self._of_kind(part).get(part)
        return seen_s is not None and seen_s >= at_s

    def acquits(self, part: bytes, lost_s: float, now_s: float) -> bool:
        """Return whether a part did not crash an engine lost at a time.

        A part of prompts that was completed once is sound. A request may
        begin to crash endpoints, so only what came after the loss counts.
        """
        if _base.is_request(part):
            return self.completed_since(part, lost_s)
        return self.knows(part, now_s)

    def _of_kind(self, part: bytes) -> collections.OrderedDict[bytes, float]:
        return self._requests_s if _base.is_request(part) else self._parts_s
