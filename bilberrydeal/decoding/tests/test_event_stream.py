"""Events that are split, joined, or never end."""

import time

import hypothesis
from hypothesis import strategies
import pytest

from .. import _event_stream

#: Processor time in which the largest event is read in the smallest pieces.
#: A megabyte took 1.9 s, and 64 times as much in pieces this small, as long
#: as each piece was searched with all before it.
LIMIT_S = 2.0


@pytest.mark.parametrize(
    ("pieces", "expected"),
    [
        ([b"a\n\n"], [b"a\n\n"]),
        ([b"a\n", b"\n"], [b"", b"a\n\n"]),
        ([b"a\r\n\r", b"\nb"], [b"", b"a\r\n\r\n"]),
        ([b"a\r", b"\n", b"\r", b"\n"], [b"", b"", b"", b"a\r\n\r\n"]),
        ([b"a\n\r\nb\n\nc", b"\n\n"], [b"a\n\r\nb\n\n", b"c\n\n"]),
        ([b"", b"a", b"", b"\n\n"], [b"", b"", b"", b"a\n\n"]),
    ],
)
def test_events_are_returned_once_complete(
    pieces: list[bytes], expected: list[bytes]
) -> None:
    buffer = _event_stream.EventBuffer()
    assert [buffer.feed(piece) for piece in pieces] == expected


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    strategies.lists(
        strategies.text("a\r\n", max_size=6).map(str.encode), max_size=12
    )
)
def test_pieces_make_no_difference(pieces: list[bytes]) -> None:
    buffer = _event_stream.EventBuffer()
    found = b"".join(map(buffer.feed, pieces))
    whole = b"".join(pieces)
    assert whole.startswith(found)
    ends = max(
        (
            whole.rfind(end) + len(end)
            for end in (b"\n\n", b"\n\r\n")
            if end in whole
        ),
        default=0,
    )
    # An end that was returned before may be completed by a further line.
    assert ends - 2 <= len(found) <= ends


@pytest.mark.parametrize("size", [2, 64, 4_400])
def test_work_for_bytes_without_end_grows_with_the_bytes_only(
    size: int,
) -> None:
    """Guards against one stream that takes all time of the process."""
    buffer = _event_stream.EventBuffer()
    piece = (b"!\n" * size)[:size].replace(b"\n\n", b"!\n")
    began_s = time.process_time()
    for _ in range(_event_stream.EVENT_LIMIT_BYTES // size):
        assert buffer.feed(piece) == b""
    assert time.process_time() - began_s < LIMIT_S
    with pytest.raises(_event_stream.EventTooLarge):
        buffer.feed(piece * (_event_stream.EVENT_LIMIT_BYTES // size))
