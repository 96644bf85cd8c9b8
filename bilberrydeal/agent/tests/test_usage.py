from bilberrydeal import link
from bilberrydeal.agent import _meter
from bilberrydeal.agent import _usage
from bilberrydeal.link.tests import harness

Sent = list[tuple[str, tuple[int, ...], int]]


def book(sent: Sent) -> _usage.UsageBook:
    """Return a book that adds what it sends to ``sent``."""

    def send(entry: str, records: link.UsageRecords) -> None:
        numbers = tuple(record.record for record in records.records)
        sent.append((entry, numbers, records.acked))

    return _usage.UsageBook("agent-1", send)


def test_records_are_kept_until_settled_and_handed_over() -> None:
    sent: Sent = []
    usage = book(sent)
    usage.joined("a")
    usage.joined("b")
    for sequence in (1, 2, 3):
        usage.add(harness.submit(sequence), _meter.Meter(calls=1), 5.0)
    usage.flush()
    usage.flush()
    assert sent == [("a", (1, 2, 3), 0)]
    usage.settled([2])
    usage.joined("a")
    assert sent.pop() == ("a", (1, 3), 0)
    usage.settled([1])
    usage.remind()
    assert sent.pop() == ("a", (3,), 2)
    usage.gone("a")
    assert sent.pop() == ("b", (3,), 2)
    usage.settled([3, 99])
    assert len(usage) == 0


def test_orphans_wait_for_the_next_entry() -> None:
    sent: Sent = []
    usage = book(sent)
    usage.joined("a")
    usage.add(harness.submit(1), _meter.Meter(calls=1), 5.0)
    usage.gone("a")
    usage.flush()
    assert sent == []
    usage.joined("c")
    assert sent == [("c", (1,), 0)]


def test_records_go_back_to_an_entry_that_comes_back() -> None:
    sent: Sent = []
    usage = book(sent)
    usage.joined("a")
    usage.joined("b")
    usage.add(harness.submit(1), _meter.Meter(calls=1), 5.0)
    usage.gone("a")
    assert sent.pop() == ("b", (1,), 0)
    usage.joined("a")
    usage.remind()
    assert sent == [("a", (1,), 0)] * 2
