import collections.abc

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from bilberrydeal import errors
from bilberrydeal.entry.core import _bodies

BAD_CHATS = [
    b"",
    b"{",
    b"[]",
    b"null",
    b"\xff",
    b'{"model": "m"}',
    b'{"model": "", "messages": [{"role": "user", "content": "x"}]}',
    b'{"model": "m", "messages": []}',
    b'{"model": "m", "messages": [{"role": "boss", "content": "x"}]}',
    b'{"model": 3, "messages": [{"role": "user", "content": "x"}]}',
    b'{"model": "m", "messages": [{"role": "user", "content": 4}]}',
    b'{"model": "m", "max_tokens": 0,'
    b' "messages": [{"role": "user", "content": "x"}]}',
    b'{"model": "m", "max_tokens": "9",'
    b' "messages": [{"role": "user", "content": "x"}]}',
    b"[" * 100_000,
]


@pytest.mark.parametrize("body", BAD_CHATS, ids=range(len(BAD_CHATS)))
def test_bad_chat_is_refused_as_not_run(body: bytes) -> None:
    with pytest.raises(errors.Refusal) as caught:
        _bodies.decode_chat(body)
    assert caught.value.status == 400
    assert caught.value.executed is errors.Executed.NO


def test_messages_become_one_prompt() -> None:
    body = msgspec.json.encode(
        {
            "model": "m",
            "stop": "x",
            "messages": [
                {"role": "system", "content": "be brief"},
                {
                    "role": "user",
                    "content": [{"type": "text", "text": "ciao"}],
                },
            ],
        }
    )
    generation = _bodies.decode_chat(body)
    assert generation.prompt == (
        "<|system|>\nbe brief\n<|user|>\nciao\n<|assistant|>\n"
    )
    assert generation.sampling.stop == ("x",)


FIELDS = [
    "model",
    "messages",
    "prompt",
    "role",
    "content",
    "stop",
    "stream",
    "n",
]
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(FIELDS),
            inner,
            max_size=5,
        )
    ),
)


def _refused_status(
    decode: collections.abc.Callable[[bytes], object], body: bytes
) -> int | None:
    try:
        decode(body)
    except errors.Refusal as refusal:
        return refusal.status
    return None


@hypothesis.settings(derandomize=True, max_examples=300)
@hypothesis.given(JSON)
def test_arbitrary_json_decodes_or_is_refused(value: object) -> None:
    body = msgspec.json.encode(value)
    for decode in (_bodies.decode_chat, _bodies.decode_completion):
        assert _refused_status(decode, body) in (None, 400)
