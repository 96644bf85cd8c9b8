"""The agent's end of all its links."""

import asyncio
import collections
import collections.abc
import itertools

from .. import settings
from . import _hello
from . import _ledger
from . import _messages
from . import _peer
from . import _pulse
from . import _reports
from . import _requests
from . import _session
from . import _transport
from . import _work

#: Incarnations of entries whose requests were forgotten.
FORGOTTEN_LIMIT = 4096
#: Time between two looks at entries that are away.
SWEEP_S = 0.25


class Host:
    """What the agent does for its links; each method returns at once."""

    def status(self) -> _messages.EndpointStatus:
        """Return what entries are to know of the endpoint."""
        raise NotImplementedError

    def cache_changes(self, entry: str) -> _messages.CacheChanges | None:
        """Return what an entry was not told of the prefix cache yet."""
        return None

    def hinted(self, order_version: int) -> None:
        """An order row was committed."""

    def settled(self, records: tuple[int, ...]) -> None:
        """Usage records are in the table."""

    def joined(self, entry: str) -> None:
        """A link with an entry is up."""

    def gone(self, entry: str) -> None:
        """An entry stayed away past the resume window."""


class LinkServer:
    """Takes hellos, gives each entry a port and keeps its requests.

    Example::

        server = LinkServer("agent-1", settings, host, executor, clock)
        await server.run()
    """

    def __init__(
        self,
        agent: str,
        agent_settings: settings.AgentSettings,
        host: Host,
        executor: _work.Executor,
        clock: collections.abc.Callable[[], float],
    ) -> None:
        self.agent = agent
        self._settings = agent_settings
        self._host = host
        self._executor = executor
        self._clock = clock
        self._peers: dict[str, _peer.Peer] = {}
        self._forgotten: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._forgot_more = False
        self._ports = itertools.cycle(
            range(
                agent_settings.link_ports_from,
                agent_settings.link_ports_from + agent_settings.link_ports,
            )
        )
        self._sessions = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._live: set[_session.Session] = set()
        self._reports = _reports.Reports(agent_settings.link.status_s)
        self._undialled: dict[str, _Reception] = {}
        self._control: _requests.Responder | None = None
        self._closed = asyncio.Event()

    def connected(self) -> list[str]:
        """Return the entries that have a link."""
        return [p.entry for p in self._peers.values() if p.connected]

    def idle(self) -> bool:
        """Whether no request waits, runs or is still to be taken."""
        return all(peer.idle for peer in self._peers.values())

    def send(
        self, entry: str, message: _messages.Message, urgent: bool = False
    ) -> None:
        """Send to an entry if it has a link."""
        peer = self._peers.get(entry)
        if peer is not None:
            peer.send(message, urgent)

    def announce(self) -> None:
        """Tell all entries the status now."""
        self._report(self._clock())

    async def run(self) -> None:
        """Serve until :meth:`close`; raises ``OSError`` without a port."""
        control = self._control = _requests.Responder(
            self._settings.listen_address, self._settings.control_port
        )
        serving = asyncio.create_task(
            control.serve(_hello.answering(self._answer))
        )
        try:
            await self._sweep()
        finally:
            control.close()
            for session in list(self._live):
                session.close()
            await asyncio.wait([serving, *self._tasks])

    def close(self) -> None:
        """End all links."""
        self._closed.set()

    def _answer(self, hello: _messages.Hello) -> _messages.HelloReply:
        number = next(self._sessions)
        refusal = ""
        port = 0
        if hello.protocol_version != _messages.PROTOCOL_VERSION:
            refusal = "protocol version"
        else:
            port = self._open(hello, number)
            refusal = "" if port else "no port is free"
        return _messages.HelloReply(
            protocol_version=_messages.PROTOCOL_VERSION,
            agent=self.agent,
            endpoint_id=self._settings.endpoint_id,
            port=port,
            session=number,
            refusal=refusal,
            takes_over=True,
        )

    def _open(self, hello: _messages.Hello, number: int) -> int:
        """Listen for one entry on a port of its own; 0 if none is free."""
        for port in itertools.islice(self._ports, self._settings.link_ports):
            socket = _transport.PairSocket(self._settings.link.silent_bound_s)
            try:
                socket.listen(self._settings.listen_address, port)
            except OSError:
                continue
            reception = _Reception(self, hello.entry, number, socket)
            self._expect(hello.entry, reception)
            task = asyncio.create_task(reception.run())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return port
        return 0

    def _expect(self, entry: str, reception: "_Reception") -> None:
        """Give up the port of a former hello that was never dialled."""
        former = self._undialled.get(entry)
        if former is not None:
            former.close()
        self._undialled[entry] = reception

    async def _sweep(self) -> None:
        while not self._closed.is_set():
            now_s = self._clock()
            self._look_after_peers(now_s)
            self._report(now_s)
            try:
                async with asyncio.timeout(SWEEP_S):
                    await self._closed.wait()
            except TimeoutError:
                pass

    def _look_after_peers(self, now_s: float) -> None:
        for peer in list(self._peers.values()):
            peer.ledger.expire(now_s)
            window_s = self._settings.link.resume_window_s
            if peer.session is not None:
                peer.give_up_unclaimed(now_s - window_s)
                continue
            away_s = now_s - peer.away_since_s
            if not peer.gone and away_s > window_s:
                peer.give_up()
                self._host.gone(peer.entry)
            if away_s > _ledger.LONG_MEMORY_S and peer.idle:
                self._forget(peer)

    def _report(self, now_s: float) -> None:
        """Tell entries what has changed enough at the endpoint."""
        status = self._host.status()
        for peer in self._peers.values():
            if peer.session is None:
                continue
            if self._reports.due(peer.entry, status, now_s):
                peer.send(status)
            changes = self._host.cache_changes(peer.entry)
            if changes is not None:
                peer.send(changes)

    def _forget(self, peer: _peer.Peer) -> None:
        del self._peers[peer.entry]
        self._forgotten[peer.entry] = peer.highest
        if len(self._forgotten) > FORGOTTEN_LIMIT:
            self._forgotten.popitem(last=False)
            self._forgot_more = True

    def _peer_of(self, entry: str) -> _peer.Peer:
        peer = self._peers.get(entry)
        if peer is None:
            floor = self._forgotten.pop(entry, 0)
            peer = _peer.Peer(entry, self._executor, self._clock, floor)
            self._peers[entry] = peer
        return peer

    def _query(self, peer: _peer.Peer, query: _messages.Query) -> None:
        outcome, finished = self._look_up(query)
        peer.send(
            _messages.QueryResult(
                query_id=query.query_id, outcome=outcome, finished=finished
            ),
            urgent=True,
        )

    def _look_up(
        self, query: _messages.Query
    ) -> tuple[_messages.QueryOutcome, _messages.Finished | None]:
        entry = query.number.entry
        other = query.agent not in ("", self.agent)
        if other or (self._forgot_more and entry not in self._peers):
            return _messages.QueryOutcome.UNKNOWN, None
        return self._peer_of(entry).look_up(query.number.sequence)

    def handle(self, entry: str, message: _messages.Message) -> None:
        """Take one message of an entry."""
        match message:
            case _messages.Query():
                self._query(self._peer_of(entry), message)
            case _messages.Settled():
                self._host.settled(message.records)
            case _messages.OrderHint():
                self._host.hinted(message.order_version)
            case _:
                self._peer_of(entry).handle(message)

    def opened(self, entry: str, session: _session.Session) -> None:
        """An entry has proved that a session is its own."""
        self._undialled.pop(entry, None)
        self._peer_of(entry).attach(session)
        self._host.joined(entry)
        self._reports.begin(entry)
        self._report(self._clock())

    async def carry(self, entry: str, session: _session.Session) -> None:
        """Run a session to its end."""
        self._live.add(session)
        try:
            await session.run()
        finally:
            self._live.discard(session)
            peer = self._peers.get(entry)
            if peer is not None:
                peer.detach(session)
                if peer.session is None:
                    self._reports.drop(entry)

    def ended(self, entry: str, reception: "_Reception") -> None:
        """A port is free again."""
        if self._undialled.get(entry) is reception:
            del self._undialled[entry]

    def new_session(
        self,
        socket: _transport.PairSocket,
        handle: collections.abc.Callable[[_messages.Message], None],
    ) -> _session.Session:
        """Make the session of a socket that waits for an entry."""
        return _session.Session(
            socket,
            self._settings.link,
            self._clock,
            handle,
            _pulse.Echoer(self._settings.link, self._clock()),
        )


class _Reception:
    """One pair socket from its hello on; takes nothing before ``Open``."""

    def __init__(
        self,
        server: LinkServer,
        entry: str,
        number: int,
        socket: _transport.PairSocket,
    ) -> None:
        self._server = server
        self._entry = entry
        self._expected = _messages.Open(
            entry=entry, agent=server.agent, session=number
        )
        self._open = False
        self._session = server.new_session(socket, self._handle)

    async def run(self) -> None:
        await self._server.carry(self._entry, self._session)
        self._server.ended(self._entry, self)

    def close(self) -> None:
        self._session.close()

    def _handle(self, message: _messages.Message) -> None:
        if self._open:
            self._server.handle(self._entry, message)
        elif message == self._expected:
            self._open = True
            self._server.opened(self._entry, self._session)
        else:
            self._session.close()
