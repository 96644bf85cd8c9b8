"""Tests the authentication of peer messages and unresponsive peers."""

import asyncio
import socket

import hypothesis
from hypothesis import strategies
import pytest

from bilberrydeal import link
from bilberrydeal import peers
from bilberrydeal.link.tests import freeports

ADDRESS = "127.0.0.1"


@hypothesis.settings(derandomize=True)
@hypothesis.given(strategies.binary(max_size=60), strategies.integers(0, 75))
def test_modified_message_is_rejected(message: bytes, position: int) -> None:
    authenticator = peers.MessageAuthenticator(b"secret")
    signed = bytearray(authenticator.sign(message))
    assert authenticator.verify(bytes(signed)) == message
    signed[position % len(signed)] ^= 1
    with pytest.raises(peers.SealBroken):
        authenticator.verify(bytes(signed))


def test_message_of_another_fleet_is_rejected() -> None:
    signed = peers.MessageAuthenticator(b"one").sign(b"hello")
    with pytest.raises(peers.SealBroken):
        peers.MessageAuthenticator(b"two").verify(signed)


async def test_forged_request_does_not_stop_the_responder() -> None:
    port = freeports.allocate_ports()
    authenticator = peers.MessageAuthenticator(b"secret")
    responder = link.Responder(ADDRESS, port)
    serving = asyncio.create_task(responder.serve(authenticator.verify))
    with pytest.raises(link.RequestFailed):
        await link.send_request(ADDRESS, port, b"forged", 0.2)
    answer = await link.send_request(
        ADDRESS, port, authenticator.sign(b"hello"), 10.0
    )
    assert answer == b"hello"
    responder.close()
    await serving


async def test_unresponsive_peer_runs_into_the_timeout() -> None:
    with socket.socket() as silent:
        silent.bind((ADDRESS, 0))
        silent.listen()
        with pytest.raises(link.RequestFailed):
            await link.send_request(
                ADDRESS, silent.getsockname()[1], b"hello", 0.1
            )
