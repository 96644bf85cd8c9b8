"""Remembers the steps of recent requests for operators."""

import collections
import collections.abc

import attrs

from ... import link
from ... import operators

#: Requests that are remembered.
REQUESTS_KEPT = 1_000
#: Steps remembered of one request.
STEPS_KEPT = 20


@attrs.define
class _Record:
    """One request's steps."""

    began_s: float
    steps: list[operators.Step] = attrs.Factory(list)


class Journal:
    """Keeps steps by request number, the oldest requests go first."""

    def __init__(self, clock: collections.abc.Callable[[], float]) -> None:
        self._clock = clock
        self._records: collections.OrderedDict[str, _Record] = (
            collections.OrderedDict()
        )

    def note(self, number: link.RequestNumber, part: str, event: str) -> None:
        """Add a step."""
        now_s = self._clock()
        name = str(number)
        record = self._records.get(name)
        if record is None:
            record = self._records[name] = _Record(now_s)
            if len(self._records) > REQUESTS_KEPT:
                self._records.popitem(last=False)
        if len(record.steps) < STEPS_KEPT:
            at_s = round(now_s - record.began_s, 6)
            record.steps.append(operators.Step(at_s, part, event))

    def trace(self, name: str) -> operators.Trace | None:
        """Return the steps of a request, if it is remembered."""
        record = self._records.get(name)
        if record is None:
            return None
        return operators.Trace(name, list(record.steps))
