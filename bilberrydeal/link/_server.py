"""The agent's end of all its links."""

import asyncio
import collections
import collections.abc
import itertools

from .. import settings
from . import _execution
from . import _hello
from . import _history
from . import _liveness
from . import _messages
from . import _peer
from . import _requests
from . import _session
from . import _status_reports
from . import _transport

#: Maximum removed entries whose highest sequence number is remembered.
REMOVED_PEERS_LIMIT = 4096
#: Interval between checks of peers and status reports.
CHECK_INTERVAL_S = 0.25


class AgentCallbacks:
    """Callbacks of a link server into the agent; they must not block."""

    def status(self) -> _messages.EndpointStatus:
        """Return the endpoint status to report to entries."""
        raise NotImplementedError

    def cache_changes(self, entry: str) -> _messages.CacheChanges | None:
        """Return prefix cache changes not yet reported to an entry."""
        return None

    def order_announced(self, order_version: int) -> None:
        """Called when an order row was committed."""

    def usage_settled(self, records: tuple[int, ...]) -> None:
        """Called when usage records have been stored."""

    def entry_connected(self, entry: str) -> None:
        """Called when a link with an entry is established."""

    def entry_expired(self, entry: str) -> None:
        """Called when an entry is disconnected past the resume window."""


class LinkServer:
    """Accepts links from entries and manages their requests.

    Each entry that sends a hello gets a port of its own.

    Example::

        server = LinkServer("agent-1", settings, callbacks, executor, clock)
        await server.run()
    """

    def __init__(
        self,
        agent: str,
        agent_settings: settings.AgentSettings,
        callbacks: AgentCallbacks,
        executor: _execution.Executor,
        clock: collections.abc.Callable[[], float],
    ) -> None:
        self.agent = agent
        self._settings = agent_settings
        self._callbacks = callbacks
        self._executor = executor
        self._clock = clock
        self._peers: dict[str, _peer.Peer] = {}
        self._removed_peers: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._removed_peers_dropped = False
        self._ports = itertools.cycle(
            range(
                agent_settings.link_ports_from,
                agent_settings.link_ports_from + agent_settings.link_ports,
            )
        )
        self._session_numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._live_sessions: set[_session.Session] = set()
        self._reports = _status_reports.StatusReports(
            agent_settings.link.status_s
        )
        self._undialled: dict[str, _EntryConnection] = {}
        self._control: _requests.Responder | None = None
        self._closed = asyncio.Event()

    def connected(self) -> list[str]:
        """Return the entries with an established link."""
        return [p.entry for p in self._peers.values() if p.connected]

    def is_idle(self) -> bool:
        """Return whether no request is unfinished or unacknowledged."""
        return all(peer.idle for peer in self._peers.values())

    def send(
        self, entry: str, message: _messages.Message, urgent: bool = False
    ) -> None:
        """Send a message to an entry if it has a link."""
        peer = self._peers.get(entry)
        if peer is not None:
            peer.send(message, urgent)

    def send_status_reports(self) -> None:
        """Report the status to all entries now, where a report is due."""
        self._send_reports(self._clock())

    async def run(self) -> None:
        """Serve until :meth:`close`; raise ``OSError`` if it cannot listen."""
        control = self._control = _requests.Responder(
            self._settings.listen_address, self._settings.control_port
        )
        serving = asyncio.create_task(
            control.serve(_hello.make_handler(self._answer_hello))
        )
        try:
            await self._run_periodic_checks()
        finally:
            control.close()
            for session in list(self._live_sessions):
                session.close()
            await asyncio.wait([serving, *self._tasks])

    def close(self) -> None:
        """Close all links."""
        self._closed.set()

    def _answer_hello(self, hello: _messages.Hello) -> _messages.HelloReply:
        number = next(self._session_numbers)
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
        """Listen for one entry on its own port; return 0 if none is free."""
        for port in itertools.islice(self._ports, self._settings.link_ports):
            socket = _transport.PairSocket(self._settings.link.silent_bound_s)
            try:
                socket.listen(self._settings.listen_address, port)
            except OSError:
                continue
            connection = _EntryConnection(self, hello.entry, number, socket)
            self._replace_undialled(hello.entry, connection)
            task = asyncio.create_task(connection.run())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return port
        return 0

    def _replace_undialled(
        self, entry: str, connection: "_EntryConnection"
    ) -> None:
        """Close the socket of an earlier hello that was never dialled."""
        previous = self._undialled.get(entry)
        if previous is not None:
            previous.close()
        self._undialled[entry] = connection

    async def _run_periodic_checks(self) -> None:
        while not self._closed.is_set():
            now_s = self._clock()
            self._expire_peers(now_s)
            self._send_reports(now_s)
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._closed.wait()
            except TimeoutError:
                pass

    def _expire_peers(self, now_s: float) -> None:
        for peer in list(self._peers.values()):
            peer.history.expire(now_s)
            window_s = self._settings.link.resume_window_s
            if peer.session is not None:
                peer.cancel_unresumed(now_s - window_s)
                continue
            away_s = now_s - peer.disconnected_since_s
            if not peer.expired and away_s > window_s:
                peer.cancel_requests()
                self._callbacks.entry_expired(peer.entry)
            if away_s > _history.RETENTION_S and peer.idle:
                self._remove_peer(peer)

    def _send_reports(self, now_s: float) -> None:
        """Send due status reports and prefix cache changes."""
        status = self._callbacks.status()
        for peer in self._peers.values():
            if peer.session is None:
                continue
            if self._reports.due(peer.entry, status, now_s):
                peer.send(status)
            changes = self._callbacks.cache_changes(peer.entry)
            if changes is not None:
                peer.send(changes)

    def _remove_peer(self, peer: _peer.Peer) -> None:
        del self._peers[peer.entry]
        self._removed_peers[peer.entry] = peer.highest_sequence
        if len(self._removed_peers) > REMOVED_PEERS_LIMIT:
            self._removed_peers.popitem(last=False)
            self._removed_peers_dropped = True

    def _get_or_create_peer(self, entry: str) -> _peer.Peer:
        peer = self._peers.get(entry)
        if peer is None:
            floor = self._removed_peers.pop(entry, 0)
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
        if other or (self._removed_peers_dropped and entry not in self._peers):
            return _messages.QueryOutcome.UNKNOWN, None
        return self._get_or_create_peer(entry).look_up(query.number.sequence)

    def handle(self, entry: str, message: _messages.Message) -> None:
        """Process a message from an entry."""
        match message:
            case _messages.Query():
                self._query(self._get_or_create_peer(entry), message)
            case _messages.Settled():
                self._callbacks.usage_settled(message.records)
            case _messages.OrderHint():
                self._callbacks.order_announced(message.order_version)
            case _:
                self._get_or_create_peer(entry).handle(message)

    def session_opened(self, entry: str, session: _session.Session) -> None:
        """Attach the session of an entry that has sent a valid ``Open``."""
        self._undialled.pop(entry, None)
        self._get_or_create_peer(entry).attach(session)
        self._callbacks.entry_connected(entry)
        self._reports.add_entry(entry)
        self._send_reports(self._clock())

    async def run_session(self, entry: str, session: _session.Session) -> None:
        """Run a session until it closes."""
        self._live_sessions.add(session)
        try:
            await session.run()
        finally:
            self._live_sessions.discard(session)
            peer = self._peers.get(entry)
            if peer is not None:
                peer.detach(session)
                if peer.session is None:
                    self._reports.remove_entry(entry)

    def connection_ended(
        self, entry: str, connection: "_EntryConnection"
    ) -> None:
        """Forget a connection whose port is free again."""
        if self._undialled.get(entry) is connection:
            del self._undialled[entry]

    def new_session(
        self,
        socket: _transport.PairSocket,
        handle: collections.abc.Callable[[_messages.Message], None],
    ) -> _session.Session:
        """Return a session for a socket that waits for an entry."""
        return _session.Session(
            socket,
            self._settings.link,
            self._clock,
            handle,
            _liveness.HeartbeatReceiver(self._settings.link, self._clock()),
        )


class _EntryConnection:
    """One pair socket since its hello; ``Open`` must be the first message."""

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
        await self._server.run_session(self._entry, self._session)
        self._server.connection_ended(self._entry, self)

    def close(self) -> None:
        self._session.close()

    def _handle(self, message: _messages.Message) -> None:
        if self._open:
            self._server.handle(self._entry, message)
        elif message == self._expected:
            self._open = True
            self._server.session_opened(self._entry, self._session)
        else:
            self._session.close()
