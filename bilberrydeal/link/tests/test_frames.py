import hypothesis
from hypothesis import strategies
import pytest

from bilberrydeal import link

NUMBER = link.RequestNumber(entry="e1", sequence=9)

MESSAGES: list[link.Message] = [
    link.Submit(
        number=NUMBER,
        organisation="russo",
        route="chat",
        model="m",
        request_class=0,
        time_left_s=3.0,
        weight=1.0,
        idempotent=True,
        body=b"\x00\xff",
    ),
    link.Chunk(sequence=9, chunk=1, text="caffè", tokens=1),
    link.Finished(sequence=9, chunk=2, status=200),
    link.Refused(sequence=9, chunk=1, reason="overloaded", started=False),
    link.CancelResult(sequence=9, outcome=link.CancelOutcome.NOT_STARTED),
    link.QueryResult(query_id=1, outcome=link.QueryOutcome.UNKNOWN),
    link.Settled(records=(1, 2)),
    link.Heartbeat(beat=1, next_ms=1500),
    link.Echo(beat=1),
    link.CacheChanges(stored=(2**63, 5), evicted=()),
    link.EndpointStatus(3, "both", "m", True, 2, 1, 40, 7, 0.25),
    link.EndpointStatus(3, "", "m", False, 2, 1, 40, 7, 1.0, 2.0),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_message_round_trips(message: link.Message) -> None:
    assert link.decode_frame(link.encode_frame([message])) == [message]


def test_message_order_is_preserved() -> None:
    assert link.decode_frame(link.encode_frame(MESSAGES)) == MESSAGES


@hypothesis.settings(derandomize=True)
@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_bytes_decode_or_raise(frame: bytes) -> None:
    try:
        link.decode_frame(frame)
    except link.FrameInvalid:
        pass
