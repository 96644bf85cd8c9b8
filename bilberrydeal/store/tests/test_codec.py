"""Rows that can't be decoded."""

import attrs
import pytest

from .. import _codec


@attrs.frozen
class _Value:
    name: str
    parts: tuple[object, ...] = ()


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b'{"name":"a"', id="cut"),
        pytest.param(b'{"name":1}', id="other type"),
        pytest.param(b"{}", id="field missing"),
        pytest.param(b'{"name":"\xff\xfe"}', id="not UTF-8"),
        pytest.param(
            b'{"name":"a","parts":' + b"[" * 100_000, id="nested too deep"
        ),
    ],
)
def test_row_of_another_writer_is_invalid(data: bytes) -> None:
    with pytest.raises(_codec.RowInvalid):
        _codec.decode(data, _Value)
