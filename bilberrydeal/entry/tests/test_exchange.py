import asyncio
import collections.abc
import contextlib
import random
import typing

import attrs

from bilberrydeal import configuration
from bilberrydeal import keys
from bilberrydeal import link
from bilberrydeal import membership
from bilberrydeal import peers
from bilberrydeal import store
from bilberrydeal import systems
from bilberrydeal.entry.cluster_state import _exchange
from bilberrydeal.entry.cluster_state import _hosts
from bilberrydeal.entry.tests import fakes
from bilberrydeal.link.tests import freeports
from bilberrydeal.store.tests import faults
from bilberrydeal.systems import limits
from standins import platform

ADDRESS = "127.0.0.1"


class Entry:
    """An entry's peer exchange and the parts that it connects."""

    def __init__(self, name: str, table: platform.MemoryTable) -> None:
        self.name = name
        port = freeports.allocate_ports()
        client = store.StoreClient(table, 1.0, 1e6, random.Random(1))
        self.follower = configuration.Follower(client, faults.MemoryObjects())
        self.committer = configuration.Committer(
            client, faults.MemoryObjects(), self.follower
        )
        self.freshness = keys.Freshness(name, 5.0, 0.5, 60.0, 5.0)
        self.directory = membership.MemberDirectory(client, name, 1.0)
        self.limiter: limits.Limiter = limits.LIMITERS.get("local_only")(name)
        self.member = membership.EntryMember(name, name, ADDRESS, port, "fd1")
        self.registration = membership.Registration(client, self.member)
        chosen = attrs.evolve(fakes.entry_settings(), peer_port=port)
        self.exchange = _exchange.PeerExchange(
            peers.EntryAddress(name, ADDRESS, port, "fd1"),
            chosen,
            peers.MessageAuthenticator(b"secret"),
            self.follower,
            self.freshness,
            self.directory,
            _hosts.LeavingHosts(self.directory),
            self.limiter,
            systems.Tables(),
            asyncio.get_running_loop().time,
        )


@contextlib.asynccontextmanager
async def _two_entries() -> collections.abc.AsyncIterator[tuple[Entry, Entry]]:
    table = platform.MemoryTable()
    both = Entry("reader", table), Entry("other", table)
    serving = [asyncio.create_task(e.exchange.serve()) for e in both]
    for entry in both:
        await entry.registration.join(0.0)
    for entry in both:
        await entry.directory.read_all(asyncio.get_running_loop().time())
    yield both
    for entry in both:
        entry.exchange.close()
    await asyncio.gather(*serving)


async def test_revisions_and_freshness_are_learned_from_a_peer() -> None:
    async with _two_entries() as (reader, other):
        change = configuration.SetOrganisation(
            configuration.Organisation("russo"), 0
        )
        await reader.committer.commit(change, "operator", 0.0)
        now_s = asyncio.get_running_loop().time()
        reader.freshness.applied(1)
        reader.freshness.confirmed(now_s)
        assert not other.freshness.accepts(now_s)
        await other.exchange.run_round()
        assert other.follower.current.revision == 1
        assert other.freshness.is_confirmed(now_s)
        assert other.exchange.peer_statuses["reader"].revision == 1


async def test_message_with_an_invalid_seal_is_ignored() -> None:
    async with _two_entries() as (reader, other):
        forged = peers.ExchangeRequest(
            sender=peers.EntryAddress("intruder", ADDRESS, 1, "fd1"),
            nonce="n",
            revision=99,
        )
        signed = peers.MessageAuthenticator(b"wrong").sign(
            peers.ArrayCodec(peers.ExchangeRequest).encode(forged)
        )
        with contextlib.suppress(link.RequestFailed):
            await link.send_request(
                ADDRESS, reader.member.peer_port, signed, 0.2
            )
        assert "intruder" not in reader.exchange.peer_statuses


@attrs.define
class _FakeLimiter:
    """Sends the given messages and records received needs."""

    outgoing: list[limits.OutgoingMessage]
    needs: list[limits.NeedReport] = attrs.Factory(list)

    def exchange(
        self, tables: systems.Tables, now_s: float
    ) -> list[limits.OutgoingMessage]:
        sent, self.outgoing = self.outgoing, []
        return sent

    def receive_need(self, report: limits.NeedReport, now_s: float) -> None:
        self.needs.append(report)


async def test_limit_need_is_sent_to_its_addressee() -> None:
    async with _two_entries() as (reader, other):
        report = limits.NeedReport("other", 1, ())
        sender: typing.Any = _FakeLimiter(
            [limits.OutgoingMessage("reader", report)]
        )
        receiver: typing.Any = _FakeLimiter([])
        other.exchange._limiter = sender
        reader.exchange._limiter = receiver
        await other.exchange.run_round()
        assert receiver.needs == [report]
