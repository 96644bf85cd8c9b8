import collections.abc
import random

import attrs
import pytest

from bilberrydeal import errors
from bilberrydeal import membership
from bilberrydeal import ports
from bilberrydeal.membership import _directory
from bilberrydeal.membership import _relay
from bilberrydeal.membership import _shard
from bilberrydeal.store.tests import faults
from bilberrydeal.store.tests import virtual
from standins import platform

READ_S = 2.0


def _entry(name: str, port: int = 1) -> membership.EntryMember:
    return membership.EntryMember(
        incarnation=name,
        host_id=f"h-{name}",
        address="127.0.0.1",
        peer_port=port,
        failure_domain="d1",
    )


def _agent(name: str, incarnation: str = "1") -> membership.AgentMember:
    return membership.AgentMember(
        endpoint_id=name,
        incarnation=f"{name}.{incarnation}",
        host_id=f"h-{name}",
        address="127.0.0.1",
        control_port=1,
        failure_domain="d1",
        service="m",
    )


@attrs.define
class Fleet:
    """Members that renew, and directories that read and exchange updates."""

    loop: virtual.VirtualLoop = attrs.Factory(virtual.VirtualLoop)
    memory: platform.MemoryTable = attrs.Factory(platform.MemoryTable)
    tables: dict[str, faults.FaultyTable] = attrs.Factory(dict)
    directories: dict[str, membership.MemberDirectory] = attrs.Factory(dict)
    rows: dict[str, membership.Registration] = attrs.Factory(dict)
    renewing: set[str] = attrs.Factory(set)
    relay: bool = True

    def join(self, member: membership.Member) -> None:
        name = member.incarnation
        table = faults.FaultyTable(self.memory, random.Random(1))
        client = faults.make_client(self.loop, table, len(self.rows))
        self.tables[name] = table
        self.rows[name] = membership.Registration(client, member)
        self.renewing.add(name)
        self.loop.run(self.rows[name].join(self.loop.now_s))
        if isinstance(member, membership.EntryMember):
            self.directories[name] = membership.MemberDirectory(
                client, name, READ_S
            )

    def down(self, down: bool) -> None:
        for table in self.tables.values():
            table.down = down

    def run_for(self, seconds: float) -> None:
        """Renew, read and exchange updates every half second."""
        for _ in range(int(seconds * 2)):
            self.loop.advance(0.5)
            for name in sorted(self.renewing):
                self._run_ignoring_store_errors(
                    self.rows[name].renew(self.loop.now_s)
                )
            for directory in self.directories.values():
                self._run_ignoring_store_errors(
                    directory.poll(self.loop.now_s)
                )
            if self.relay:
                self._exchange()

    def _run_ignoring_store_errors(
        self, work: collections.abc.Coroutine[object, object, object]
    ) -> None:
        try:
            self.loop.run(work)
        except (errors.StoreUnavailable, errors.OutcomeUnknown):
            pass

    def _exchange(self) -> None:
        for one in self.directories.values():
            for other in self.directories.values():
                now_s = self.loop.now_s
                relay = other.updates_for(one.shard_ages(now_s), now_s)
                if one is not other:
                    one.apply_relay(relay, now_s, now_s)

    def ages(self) -> membership.ShardAges:
        return self.directories["e1"].shard_ages(self.loop.now_s)

    def seen(self, name: str) -> set[str]:
        directory = self.directories[name]
        members: list[membership.Member] = [*directory.entries()]
        members.extend(directory.agents())
        return {member.incarnation for member in members}


def _fleet(agents: int = 3) -> Fleet:
    fleet = Fleet()
    fleet.join(_entry("e1", 1))
    fleet.join(_entry("e2", 2))
    for n in range(agents):
        fleet.join(_agent(f"a{n}"))
    fleet.run_for(5.0)
    return fleet


ALL_MEMBERS = {"e1", "e2", "a0.1", "a1.1", "a2.1"}


def test_dead_member_expires() -> None:
    """An entry that stops renewing must not stay listed as live."""
    fleet = _fleet()
    assert fleet.seen("e1") == fleet.seen("e2") == ALL_MEMBERS
    fleet.renewing.remove("e2")
    del fleet.directories["e2"]
    fleet.run_for(16.0)
    assert fleet.seen("e1") == ALL_MEMBERS - {"e2"}
    assert "e2" in fleet.directories["e1"].registered_entries()


def test_store_outage_expires_no_members() -> None:
    """Renewals missed in an outage must not count after it either."""
    fleet = _fleet()
    renewing, fleet.renewing = fleet.renewing, set()
    fleet.run_for(3.0)
    fleet.down(True)
    fleet.run_for(60.0)
    assert fleet.seen("e1") == ALL_MEMBERS
    age_s = fleet.directories["e1"].age_s(fleet.loop.now_s)
    assert age_s is not None
    assert age_s >= 60.0
    fleet.down(False)
    # No member could renew during the outage, so none may expire.
    fleet.renewing = {"e1"}
    fleet.run_for(1.0)
    assert fleet.seen("e1") == fleet.seen("e2") == ALL_MEMBERS
    fleet.renewing = renewing
    fleet.run_for(10.0)
    assert fleet.seen("e1") == ALL_MEMBERS


def test_read_only_store_expires_no_members() -> None:
    """Reads succeed but all renewals fail."""
    fleet = _fleet()
    for table in fleet.tables.values():
        table.read_only = True
    fleet.run_for(60.0)
    assert fleet.seen("e1") == ALL_MEMBERS


def test_older_version_of_a_row_is_ignored() -> None:
    """A peer with newer shard data may still have an older row version."""
    shard = _shard.Shard("entry/", step_s=4.0)
    newer = attrs.evolve(_entry("e1"), state=membership.MemberState.LEAVING)
    row = ports.Row("members", newer.key, 9, membership.encode(newer))
    shard.apply_scan((row,), sent_s=10.0, renewal_seen=True)
    older = _relay.RelayedRow(
        newer.key, 8, membership.encode(_entry("e1")).decode()
    )
    gone = _relay.RelayedRow(newer.key, 8, None)
    for update in (older, gone):
        relayed = _relay.RelayedShard("entry/", 0.0, False, (update,))
        shard.apply_update(relayed, sent_s=11.0, now_s=11.0)
        assert shard.alive() == [newer]


def test_entry_without_store_follows_its_peers() -> None:
    """Joins, leaves and expiries must reach an entry without the store."""
    fleet = _fleet()
    fleet.tables["e2"].down = True
    fleet.join(_agent("a9"))
    fleet.run_for(3.0)
    assert "a9.1" in fleet.seen("e2")
    fleet.loop.run(fleet.rows["a9.1"].remove())
    fleet.renewing.remove("a9.1")
    fleet.run_for(3.0)
    assert "a9.1" not in fleet.seen("e2")
    fleet.join(_entry("e3", 3))
    fleet.run_for(3.0)
    assert "e3" in fleet.seen("e2")
    fleet.renewing.remove("e3")
    del fleet.directories["e3"]
    fleet.run_for(20.0)
    assert "e3" not in fleet.seen("e2")


def test_entries_without_peers_read_all_shards() -> None:
    """Without updates from peers, shards of other readers would go stale."""
    fleet = _fleet()
    fleet.relay = False
    fleet.join(_agent("a9"))
    fleet.run_for(6.0)
    assert "a9.1" in fleet.seen("e1") & fleet.seen("e2")


def test_each_shard_is_read_by_one_entry() -> None:
    """Reads by every entry would grow with the square of the fleet.

    The next in rank takes over if the first reader stops reading.
    """
    fleet = _fleet()
    fleet.loop.advance(READ_S * 1.5)
    now_s = fleet.loop.now_s
    one, other = (set(d.due(now_s)) for d in fleet.directories.values())
    assert not one & other
    ages = fleet.ages()
    assert len(one | other) == len(ages)
    assert all(age_s is None or age_s > 0.0 for age_s in ages)
    fleet.loop.advance(READ_S * 2)
    # The other entry did not read: it has stopped or lost the store.
    assert set(fleet.directories["e1"].due(fleet.loop.now_s)) == one | other


def test_read_period_grows_with_the_fleet() -> None:
    """A fixed period would overload the store in a large fleet."""
    fleet = Fleet()
    fleet.join(_entry("e1"))
    client = faults.make_client(fleet.loop, fleet.memory)
    for start in range(0, 4_000, 500):
        writes = tuple(
            ports.Write("members", agent.key, membership.encode(agent))
            for agent in (_agent(f"a{n}") for n in range(start, start + 500))
        )
        fleet.loop.run(client.commit(ports.Transaction((), writes)))
    directory = fleet.directories["e1"]
    fleet.loop.run(directory.poll(fleet.loop.now_s))
    assert len(directory.agents()) == 4_000
    rows_per_s = 4_001 / directory.period_s()
    assert rows_per_s <= _directory.ROWS_READ_PER_S


def test_agents_of_a_leaving_host_are_leaving() -> None:
    """The agents themselves may not know yet that their host is leaving."""
    fleet = _fleet()
    directory = fleet.directories["e1"]
    directory.set_hosts(
        [ports.HostRecord("h-a1", "127.0.0.1", "d1", ports.HostState.LEAVING)]
    )
    states = {agent.endpoint_id: agent.state for agent in directory.agents()}
    assert states == {
        "a0": membership.MemberState.LIVE,
        "a1": membership.MemberState.LEAVING,
        "a2": membership.MemberState.LIVE,
    }


def test_restarted_agent_replaces_its_row() -> None:
    """The former incarnation must notice this at its next renewal."""
    fleet = _fleet(1)
    fleet.join(_agent("a0", "2"))
    with pytest.raises(membership.RowTaken):
        fleet.loop.run(fleet.rows["a0.1"].renew(0.0))
    fleet.renewing.remove("a0.1")
    fleet.run_for(3.0)
    assert "a0.2" in fleet.seen("e1")


def test_uncertain_renewal_keeps_the_successors_row() -> None:
    """A renewal with unknown outcome makes the agent reread its version.

    It must not overwrite the row if a successor has replaced it meanwhile.
    """
    fleet = _fleet(1)
    fleet.tables["a0.1"].script = [faults.Fault.LOST_BEFORE]
    fleet.tables["a0.1"].script += [faults.Fault.DOWN] * 40
    with pytest.raises(errors.OutcomeUnknown):
        fleet.loop.run(fleet.rows["a0.1"].renew(0.0))
    fleet.tables["a0.1"].script.clear()
    fleet.join(_agent("a0", "2"))
    with pytest.raises(membership.RowTaken):
        fleet.loop.run(fleet.rows["a0.1"].renew(0.0))


def test_restarted_entry_removes_its_former_row() -> None:
    """The row of the ended incarnation would stay until it is swept."""
    fleet = _fleet(0)
    fleet.renewing.remove("e1")
    del fleet.directories["e1"]
    fleet.join(_entry("e3", 1))
    fleet.run_for(3.0)
    assert fleet.directories["e2"].registered_entries() == {"e2", "e3"}
    with pytest.raises(membership.RowTaken):
        fleet.loop.run(fleet.rows["e1"].renew(0.0))


@pytest.mark.parametrize(
    "script",
    [
        [faults.Fault.LOST_AFTER, faults.Fault.DOWN],
        [faults.Fault.LOST_AFTER] + [faults.Fault.DOWN] * 40,
        [faults.Fault.LOST_BEFORE] + [faults.Fault.DOWN] * 40,
    ],
)
def test_lost_renewal_keeps_the_row(script: list[faults.Fault]) -> None:
    """An entry must not stop because the outcome of a renewal is unknown."""
    fleet = _fleet(0)
    fleet.tables["e1"].script = script
    fleet.run_for(30.0)
    assert not fleet.tables["e1"].script
    fleet.loop.run(fleet.rows["e1"].renew(0.0))
    assert fleet.seen("e2") == {"e1", "e2"}


def test_incarnations_of_the_same_second_differ() -> None:
    """Equal names would let one process act on the rows of another."""
    rng = random.Random(1)
    names = {membership.new_incarnation("h1", 7.0, rng) for _ in range(50)}
    assert len(names) == 50
