"""One duty's lease as one process sees it."""

import asyncio
import contextlib
import typing

import attrs

from .. import errors
from .. import ports
from .. import store
from . import _rows


@attrs.define(slots=False, eq=False)
class LeaseLost(errors.BilberrydealError):
    """This process does not hold the lease."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.LEASE_LOST

    #: The duty.
    duty: str


@attrs.frozen
class _Seen:
    """Both rows in one snapshot."""

    #: Version of the lease row, 0 without one.
    lease_version: int
    #: Version of the fence row, 0 without one.
    fence_version: int
    #: The lease row.
    lease: _rows.LeaseRow | None
    #: The fence row.
    fence: _rows.FenceRow | None


@attrs.frozen
class _Holding:
    """What this process holds."""

    #: The fencing number.
    fence: int
    #: Version of the fence row.
    fence_version: int
    #: Version of the lease row.
    lease_version: int
    #: The lease is trusted until then, own monotonic seconds.
    trusted_until_s: float


@attrs.frozen
class _Watch:
    """A lease of another that is watched for changes."""

    #: Version of the lease row.
    version: int
    #: When this process first saw it, own monotonic seconds.
    since_s: float


class Lease:
    """Holds, renews or watches one duty.

    The holder trusts its lease by its own clock from before the renewal
    was sent; a successor takes the duty when it has seen the row unchanged
    on its own clock for the holder's time, the longest call and the margin.
    Call :meth:`tick` regularly; it makes one step.

    Example::

        await lease.tick()
        if lease.held(now_s):
            checks = lease.checks(now_s)
            await client.commit(ports.Transaction(checks, writes))
    """

    def __init__(
        self,
        client: store.StoreClient,
        duty: str,
        holder: str,
        bounds: _rows.LeaseBounds,
    ) -> None:
        self.duty = duty
        self.holder = holder
        self._client = client
        self._bounds = bounds
        self._holding: _Holding | None = None
        self._watch: _Watch | None = None
        self._lock = asyncio.Lock()
        #: Who had the duty when it was last seen, empty for nobody.
        self.holder_seen = ""
        #: Since when the duty was seen to be free, own monotonic seconds;
        #: ``None`` while somebody has it.
        self.free_since_s: float | None = None

    # What the holder may rely on.

    def held(self, now_s: float) -> bool:
        """Return whether this process has the duty."""
        return self.time_left_s(now_s) > 0.0

    def time_left_s(self, now_s: float) -> float:
        """Return how long it still has the duty, 0 without it.

        A call made for the duty has a timeout below this.
        """
        if self._holding is None:
            return 0.0
        return max(self._holding.trusted_until_s - now_s, 0.0)

    def fence(self, now_s: float) -> int:
        """Return the fencing number, or raise :class:`LeaseLost`."""
        return self._held(now_s).fence

    def checks(self, now_s: float) -> tuple[ports.Check, ...]:
        """Return what every transaction of the duty checks.

        Raises :class:`LeaseLost`. A transaction with these checks fails
        once anybody else took the duty, however late it arrives.
        """
        holding = self._held(now_s)
        key = _rows.fence_key(self.duty)
        return (_check(key, holding.fence_version),)

    # Steps.

    async def tick(self, wanted: bool = True) -> bool:
        """Renew, watch or take; return whether the duty is held.

        ``wanted`` tells whether a free duty should be taken. Errors of the
        store end the step; the lease then runs out by itself.
        """
        async with self._lock:
            try:
                if self._holding is not None:
                    await self._renew(self._holding)
                else:
                    await self._look(wanted)
            except (errors.StoreUnavailable, errors.OutcomeUnknown):
                self._forget_lapsed()
        return self.held(self._client.now_s())

    async def step_down(self) -> None:
        """Give the duty up, so that another can take it at once.

        Call it when no call made for the duty is under way any more.
        """
        async with self._lock:
            holding, self._holding = self._holding, None
            if holding is None:
                return
            free = _rows.LeaseRow(holder="", ttl_s=0.0, nonce="")
            with contextlib.suppress(
                errors.StoreUnavailable,
                errors.OutcomeUnknown,
                errors.TableConflict,
            ):
                await self._write_lease(free, holding.lease_version)

    def _held(self, now_s: float) -> _Holding:
        if self._holding is None or not self.held(now_s):
            raise LeaseLost(duty=self.duty)
        return self._holding

    def _forget_lapsed(self) -> None:
        """Begin anew from the rows once the lease ran out."""
        if not self.held(self._client.now_s()):
            self._holding = None

    async def _renew(self, holding: _Holding) -> None:
        sent_s = self._client.now_s()
        row = _rows.LeaseRow(self.holder, self._bounds.ttl_s, nonce="")
        try:
            version = await self._write_lease(row, holding.lease_version)
        except errors.TableConflict:
            # Either another took it, or an own write took effect late.
            self._holding = None
            return
        self._holding = attrs.evolve(
            holding,
            lease_version=version,
            trusted_until_s=self._trusted_until_s(sent_s),
        )

    async def _look(self, wanted: bool) -> None:
        seen = await self._read()
        now_s = self._client.now_s()
        self.holder_seen = seen.lease.holder if seen.lease else ""
        if seen.lease is not None and seen.lease.holder == self.holder:
            await self._resume(seen)
            return
        if self._watch is None or self._watch.version != seen.lease_version:
            self._watch = _Watch(seen.lease_version, now_s)
        if not self._free(seen, now_s):
            self.free_since_s = None
            return
        if self.free_since_s is None:
            self.free_since_s = now_s
        if wanted:
            await self._take(seen)

    def _free(self, seen: _Seen, now_s: float) -> bool:
        if seen.lease is None or not seen.lease.holder:
            return True
        if self._watch is None:
            return False
        wait_s = (
            seen.lease.ttl_s
            + self._bounds.call_longest_s
            + self._bounds.margin_s
        )
        return now_s - self._watch.since_s > wait_s

    async def _resume(self, seen: _Seen) -> None:
        """Go on with a lease that is this incarnation's own."""
        if seen.fence is None or seen.fence.holder != self.holder:
            return
        await self._renew(
            _Holding(
                fence=seen.fence.fence,
                fence_version=seen.fence_version,
                lease_version=seen.lease_version,
                trusted_until_s=0.0,
            )
        )

    async def _take(self, seen: _Seen) -> None:
        sent_s = self._client.now_s()
        nonce = self._client.nonce()
        fence = seen.fence.fence + 1 if seen.fence else 1
        lease_key = _rows.lease_key(self.duty)
        fence_key = _rows.fence_key(self.duty)
        lease = _rows.LeaseRow(self.holder, self._bounds.ttl_s, nonce)
        taken = _rows.FenceRow(fence, self.holder, nonce)
        transaction = ports.Transaction(
            checks=(
                ports.Check(
                    lease_key.table, lease_key.key, seen.lease_version
                ),
                ports.Check(
                    fence_key.table, fence_key.key, seen.fence_version
                ),
            ),
            writes=(
                _write(lease_key, lease),
                _write(fence_key, taken),
            ),
        )
        self._watch = None
        self.free_since_s = None
        try:
            committed = await self._client.commit_resolved(
                transaction, fence_key, nonce
            )
        except errors.TableConflict:
            return
        self._holding = _Holding(
            fence=fence,
            fence_version=committed.versions[1],
            lease_version=committed.versions[0],
            trusted_until_s=self._trusted_until_s(sent_s),
        )

    async def _read(self) -> _Seen:
        lease, fence = await self._client.read(
            [_rows.lease_key(self.duty), _rows.fence_key(self.duty)]
        )
        return _Seen(
            lease_version=lease.version if lease else 0,
            fence_version=fence.version if fence else 0,
            lease=store.decode(lease.value, _rows.LeaseRow) if lease else None,
            fence=store.decode(fence.value, _rows.FenceRow) if fence else None,
        )

    async def _write_lease(self, row: _rows.LeaseRow, version: int) -> int:
        """Replace the lease row; return its new version."""
        key = _rows.lease_key(self.duty)
        nonce = self._client.nonce()
        value = store.encode(attrs.evolve(row, nonce=nonce))
        committed = await self._client.commit_resolved(
            ports.Transaction(
                checks=(_check(key, version),),
                writes=(ports.Write(key.table, key.key, value),),
            ),
            key,
            nonce,
        )
        return committed.versions[0]

    def _trusted_until_s(self, sent_s: float) -> float:
        return sent_s + self._bounds.ttl_s - self._bounds.margin_s


def _write(key: ports.RowKey, row: object) -> ports.Write:
    return ports.Write(key.table, key.key, store.encode(row))


def _check(key: ports.RowKey, version: int) -> ports.Check:
    return ports.Check(key.table, key.key, version)
