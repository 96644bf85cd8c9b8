"""Keeps the steps of recent requests for operators."""

import collections
import collections.abc

import attrs

from ... import link
from ... import operators

#: Maximum number of requests kept.
MAX_REQUESTS = 1_000
#: Maximum number of steps kept per request.
MAX_STEPS = 20


@attrs.define
class _TraceRecord:
    """The steps of one request."""

    started_s: float
    steps: list[operators.Step] = attrs.Factory(list)


class RequestTraces:
    """Keeps steps by request number and evicts the oldest requests."""

    def __init__(self, clock: collections.abc.Callable[[], float]) -> None:
        self._clock = clock
        self._records: collections.OrderedDict[str, _TraceRecord] = (
            collections.OrderedDict()
        )

    def add_step(
        self, number: link.RequestNumber, part: str, event: str
    ) -> None:
        """Add a step of a request; steps beyond the limit are dropped."""
        now_s = self._clock()
        name = str(number)
        record = self._records.get(name)
        if record is None:
            record = self._records[name] = _TraceRecord(now_s)
            if len(self._records) > MAX_REQUESTS:
                self._records.popitem(last=False)
        if len(record.steps) < MAX_STEPS:
            at_s = round(now_s - record.started_s, 6)
            record.steps.append(operators.Step(at_s, part, event))

    def get(self, name: str) -> operators.Trace | None:
        """Return the steps of a request, ``None`` if it is not kept."""
        record = self._records.get(name)
        if record is None:
            return None
        return operators.Trace(name, list(record.steps))
