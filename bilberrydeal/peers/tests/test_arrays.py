"""Tests the encoding of peer messages as JSON arrays."""

import attrs
import msgspec
import pytest

from bilberrydeal import configuration
from bilberrydeal import keys
from bilberrydeal import membership
from bilberrydeal import peers
from bilberrydeal.configuration import _codec
from bilberrydeal.systems import limits

CHANGE = _codec.Envelope("set", msgspec.Raw(b"{}"))
SENDER = peers.EntryAddress("e1", "10.1.1.1", 7400, "fd1")
KNOWN = keys.KeyFreshnessReport("e1", 7, None, blind=True, known=("e2",))
NEED = limits.OrganisationNeed("russo", 1.5, 90.0, 2.0, 3)
ROWS = (
    membership.RelayedRow("agent/1", 7, None),
    membership.RelayedRow("agent/2", 8, "{}"),
)
MESSAGES: list[object] = [
    peers.ExchangeRequest(SENDER, "n", 7),
    peers.ExchangeRequest(
        SENDER,
        "n",
        7,
        ages=(None, 0.0, 2.5),
        need=limits.NeedReport("e1", 9, (NEED, NEED)),
        need_report_request=limits.NeedReportRequest("e1", ("russo",)),
    ),
    peers.ExchangeRequest(
        SENDER,
        "n",
        7,
        grant=limits.ShareGrant(
            "e1", 3, (limits.OrganisationShare("russo", 0.5, 0.25, 4),)
        ),
    ),
    peers.ExchangeReply("n", KNOWN),
    peers.ExchangeReply(
        "n",
        KNOWN,
        changes=configuration.RelayChanges(
            (configuration.Revision(8, CHANGE, "n"),)
        ),
        members=membership.MemberRelay(
            (membership.RelayedShard("agent/1", 0.5, True, ROWS),)
        ),
        hosts=peers.HostRelay(("h1",), 2.0),
    ),
]


@pytest.mark.parametrize("message", MESSAGES)
def test_message_round_trips_without_field_names(
    message: peers.ExchangeRequest | peers.ExchangeReply,
) -> None:
    codec = peers.ArrayCodec(type(message))
    data = codec.encode(message)
    assert codec.decode(data) == message
    assert b":" not in data.replace(b"{}", b"")


@attrs.frozen
class EntryAddressWithRegion:
    """A later version of ``Introduction`` with an added field."""

    entry: str
    address: str
    peer_port: int
    failure_domain: str
    region: str = "r1"


def test_appended_field_is_compatible_both_ways() -> None:
    older = peers.ArrayCodec(peers.EntryAddress)
    newer = peers.ArrayCodec(EntryAddressWithRegion)
    extended = newer.decode(older.encode(SENDER))
    assert extended == EntryAddressWithRegion(
        "e1", "10.1.1.1", 7400, "fd1", "r1"
    )
    assert older.decode(newer.encode(extended)) == SENDER


@pytest.mark.parametrize(
    "data", [b"{}", b"[]", b"[1]", b"nonsense", b"\xff", b'["n",7]']
)
def test_invalid_message_is_rejected(data: bytes) -> None:
    with pytest.raises((msgspec.MsgspecError, UnicodeDecodeError)):
        peers.ArrayCodec(peers.ExchangeRequest).decode(data)
