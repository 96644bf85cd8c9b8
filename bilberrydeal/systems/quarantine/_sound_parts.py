"""Parts under which engines generate."""

import collections

#: Most parts remembered; those not used for longest yield.
LIMIT = 16_384
#: Time after which a part that is no longer used is forgotten, in seconds.
KEPT_S = 600.0


class SoundParts:
    """Remembers parts under which a stream was completed."""

    def __init__(self) -> None:
        self._seen_s: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )

    def add(self, part: bytes, now_s: float) -> None:
        """Record a part of a completed stream."""
        self._seen_s[part] = now_s
        self._seen_s.move_to_end(part)
        if len(self._seen_s) > LIMIT:
            self._seen_s.popitem(last=False)

    def knows(self, part: bytes, now_s: float) -> bool:
        """Return whether a stream with a part was completed."""
        seen_s = self._seen_s.get(part)
        return seen_s is not None and now_s - seen_s < KEPT_S
