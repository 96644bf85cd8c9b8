import typing

from bilberrydeal import ports
from bilberrydeal.entry.cluster_state import _hosts


class _Directory:
    """Records the leaving hosts that it is given."""

    def __init__(self) -> None:
        self.leaving: list[str] = []

    def set_hosts(self, hosts: typing.Iterable[ports.HostRecord]) -> None:
        self.leaving = [host.host_id for host in hosts]


def _record(host_id: str, state: ports.HostState) -> ports.HostRecord:
    return ports.HostRecord(host_id, "127.0.0.1", "fd1", state)


def test_newest_list_wins_regardless_of_its_reader() -> None:
    reader_directory: typing.Any = _Directory()
    other_directory: typing.Any = _Directory()
    reader = _hosts.LeavingHosts(reader_directory)
    other = _hosts.LeavingHosts(other_directory)
    assert reader.relay(0.0) is None
    reader.update_from_platform([_record("h1", ports.HostState.LEAVING)], 1.0)
    older_relay = reader.relay(2.0)
    other.update_from_peer(older_relay, 2.0)
    assert other_directory.leaving == ["h1"]
    reader.update_from_platform([_record("h1", ports.HostState.LIVE)], 3.0)
    other.update_from_peer(reader.relay(4.0), 4.0)
    assert other_directory.leaving == []
    other.update_from_peer(older_relay, 2.0)
    assert other_directory.leaving == []
