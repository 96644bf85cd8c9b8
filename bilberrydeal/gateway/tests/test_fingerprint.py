"""What tells a request from others, and its repetitions from none."""

import typing

import attrs
import pytest

from ... import catalogue
from ... import http1
from ..core import _requests
from ..sending import _quarantine
from . import configurations

_HEADERS = ((b"host", b"h.example"), (b"request-id", b"r1"))


def _admitted(
    organisation: str | None = "o1", **fields: typing.Any
) -> _requests.AdmittedRequest:
    request = http1.Request(
        b"POST", b"/read/1?a=1", _HEADERS, b"body", True, 1.0, 1.0
    )
    return _requests.AdmittedRequest(
        request=attrs.evolve(request, **fields),
        request_id=b"r1",
        route=configurations.ROUTES[0],
        service="shop",
        organisation=(
            catalogue.Organisation(organisation, None)
            if organisation
            else None
        ),
        deadline_s=2.0,
        prompt=None,
        last_event=b"",
        configuration_version=1,
    )


@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"headers": ((b"host", b"h.example"), (b"request-id", b"r2"))},
        {"headers": (*_HEADERS, (b"deadline-ms", b"7"))},
        {"started_s": 5.0, "read_s": 6.0},
    ],
)
def test_repetition_of_a_request_has_its_fingerprint(
    fields: dict[str, typing.Any],
) -> None:
    assert _admitted(**fields).fingerprint == _admitted().fingerprint


@pytest.mark.parametrize(
    "fields",
    [
        {"method": b"PUT"},
        {"target": b"/read/1?a=2"},
        {"target": b"/read/2?a=1"},
        {"headers": ((b"host", b"g.example"),)},
        {"body": b"bodY"},
        {"body": b""},
        # What one field loses another one gains.
        {"target": b"/read/1?a=1b", "body": b"ody"},
        {"organisation": "o2"},
        {"organisation": None},
    ],
)
def test_another_request_has_another_fingerprint(
    fields: dict[str, typing.Any],
) -> None:
    assert _admitted(**fields).fingerprint != _admitted().fingerprint


@pytest.mark.parametrize(
    ("target", "same"),
    [
        (b"/read/1?a=2", True),
        (b"/read/1", True),
        (b"/read/2?a=1", False),
    ],
)
def test_repetition_with_another_query_has_the_fingerprint_of_its_path(
    target: bytes, same: bool
) -> None:
    other = _admitted(target=target)
    assert (other.path_fingerprint == _admitted().path_fingerprint) == same


def _lost_prompt(target: bytes) -> set[bytes]:
    """Return what is remembered of a request that was lost."""
    suspects = _quarantine._suspects(_admitted(target=target))
    return {parts[-1] for parts in suspects}


def test_request_with_other_queries_is_suspected_by_its_path() -> None:
    """Guards against a request that crashes endpoints under new queries."""
    common = _lost_prompt(b"/read/1?a=1") & _lost_prompt(b"/read/1?a=2")
    assert len(common) == 1
    assert common == _lost_prompt(b"/read/1")
    assert not common & _lost_prompt(b"/read/2?a=1")
