"""Usage records that wait to be settled."""

import attrs

from .. import link

#: Maximum number of records waiting to be settled; agents resend the rest.
MAX_WAITING_RECORDS = 20_000


@attrs.frozen
class Acknowledged:
    """Settled records that an agent may discard."""

    #: Incarnation of the agent.
    agent: str
    #: Acknowledgement to send to the agent.
    message: link.Settled


@attrs.frozen
class WaitingRecord:
    """A record waiting to be settled."""

    #: Incarnation of the agent, empty if the entry billed the request.
    agent: str
    #: The record.
    record: link.UsageRecord


class WaitingRecords:
    """Records that wait to be settled, by the entry of their request."""

    def __init__(self) -> None:
        self._by_entry: dict[str, dict[tuple[str, int], WaitingRecord]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def entries(self) -> tuple[str, ...]:
        """Return the entries whose records are waiting."""
        return tuple(self._by_entry)

    def batch(self, entry: str, size: int) -> list[WaitingRecord]:
        """Return the oldest records of one entry's requests."""
        return list(self._by_entry[entry].values())[:size]

    def add(self, item: WaitingRecord) -> None:
        """Add a record unless it waits already or too many wait."""
        waiting = self._by_entry.setdefault(item.record.number.entry, {})
        key = (item.agent, item.record.record)
        if key in waiting or self._count >= MAX_WAITING_RECORDS:
            return
        waiting[key] = item
        self._count += 1

    def remove(self, entry: str, items: list[WaitingRecord]) -> None:
        """Remove records of one entry's requests."""
        waiting = self._by_entry[entry]
        for item in items:
            del waiting[(item.agent, item.record.record)]
        self._count -= len(items)
        if not waiting:
            del self._by_entry[entry]


def group_by_agent(items: list[WaitingRecord]) -> tuple[Acknowledged, ...]:
    """Return the acknowledgement of settled records for each agent."""
    by_agent: dict[str, list[int]] = {}
    for item in items:
        if item.agent:
            by_agent.setdefault(item.agent, []).append(item.record.record)
    return tuple(
        Acknowledged(agent, link.Settled(records=tuple(records)))
        for agent, records in by_agent.items()
    )
