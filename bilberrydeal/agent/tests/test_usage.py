from bilberrydeal import link
from bilberrydeal.agent import _meter
from bilberrydeal.agent import _usage
from bilberrydeal.link.tests import harness

Sent = list[tuple[str, tuple[int, ...], int]]


def make_buffer(sent: Sent) -> _usage.UsageBuffer:
    """Return a buffer that appends what it sends to ``sent``."""

    def send(entry: str, records: link.UsageRecords) -> None:
        numbers = tuple(record.record for record in records.records)
        sent.append((entry, numbers, records.acked))

    return _usage.UsageBuffer("agent-1", send)


def test_records_are_kept_until_settled_and_reassigned() -> None:
    sent: Sent = []
    usage = make_buffer(sent)
    usage.entry_connected("a")
    usage.entry_connected("b")
    for sequence in (1, 2, 3):
        usage.add(harness.make_submit(sequence), _meter.Meter(calls=1), 5.0)
    usage.flush()
    usage.flush()
    assert sent == [("a", (1, 2, 3), 0)]
    usage.settled([2])
    usage.entry_connected("a")
    assert sent.pop() == ("a", (1, 3), 0)
    usage.settled([1])
    usage.resend()
    assert sent.pop() == ("a", (3,), 2)
    usage.entry_expired("a")
    assert sent.pop() == ("b", (3,), 2)
    usage.settled([3, 99])
    assert len(usage) == 0


def test_unassigned_records_wait_for_the_next_entry() -> None:
    sent: Sent = []
    usage = make_buffer(sent)
    usage.entry_connected("a")
    usage.add(harness.make_submit(1), _meter.Meter(calls=1), 5.0)
    usage.entry_expired("a")
    usage.flush()
    assert sent == []
    usage.entry_connected("c")
    assert sent == [("c", (1,), 0)]


def test_records_return_to_an_entry_that_reconnects() -> None:
    """No other entry settles records of an entry that has reconnected."""
    sent: Sent = []
    usage = make_buffer(sent)
    usage.entry_connected("a")
    usage.entry_connected("b")
    usage.add(harness.make_submit(1), _meter.Meter(calls=1), 5.0)
    usage.entry_expired("a")
    assert sent.pop() == ("b", (1,), 0)
    usage.entry_connected("a")
    usage.resend()
    assert sent == [("a", (1,), 0)] * 2
