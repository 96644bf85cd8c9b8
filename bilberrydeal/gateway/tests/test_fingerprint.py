"""What tells a request from others, and its repetitions from none."""

import typing

import attrs
import pytest

from ... import catalogue
from ... import http1
from ..core import _requests
from . import harness

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
        route=harness.ROUTES[0],
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
