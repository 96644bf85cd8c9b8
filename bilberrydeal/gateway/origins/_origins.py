"""All that a gateway knows of the streams that were begun lately."""

import collections.abc

from ... import store
from .. import cluster_state
from .. import core
from . import _access
from . import _announcer
from . import _memory
from . import _resolver
from . import _rows
from . import _version_history


class Origins:
    """The resolver for requests and the rows behind it.

    Example::

        origins = Origins(client, "g1.17", cluster, ...)
        origins.resolver.note(admitted, origin)
        await origins.run_once()
        origin = await origins.resolver.resolve(admitted)
    """

    def __init__(
        self,
        client: store.StoreClient,
        incarnation: str,
        cluster: cluster_state.ClusterState,
        metrics: core.GatewayMetrics,
        store_s: collections.abc.Callable[[], float | None],
        writes_versions: collections.abc.Callable[[], bool],
        clock: _access.Clock,
        peers: _announcer.OriginPeers,
    ) -> None:
        def kept_s() -> float:
            return cluster.stream_lifetime_s

        memory = _memory.OriginMemory(kept_s)
        history = _version_history.VersionHistory(kept_s)
        #: What all gateways store.
        self.rows = _rows.OriginRows(
            _access.StoreAccess(client, kept_s, store_s, clock),
            incarnation,
            memory,
            history,
            cluster,
            writes_versions,
        )
        self._announcer = _announcer.OriginAnnouncer(
            peers, incarnation, memory, history, metrics, clock
        )
        self._clock = clock
        #: Binds requests to what began their streams.
        self.resolver = _resolver.OriginResolver(
            memory,
            history,
            self.rows,
            self._announcer,
            cluster,
            cluster_state.DecodeWait(cluster, clock),
            metrics,
            clock,
        )

    async def run_once(self) -> None:
        """Tell others, and store, what they don't know yet."""
        self.rows.observe()
        self._announcer.announce(self._clock())
        await self.rows.run_once()
