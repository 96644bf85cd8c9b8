"""Acquires, renews and releases the lease of one duty."""

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
    """Raised when this process does not hold the lease."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.LEASE_LOST

    #: Name of the duty.
    duty: str


@attrs.frozen
class _Snapshot:
    """Lease and fence row from one consistent read."""

    #: Version of the lease row, 0 if it does not exist.
    lease_version: int
    #: Version of the fence row, 0 if it does not exist.
    fence_version: int
    #: The lease row, ``None`` if it does not exist.
    lease: _rows.LeaseRow | None
    #: The fence row, ``None`` if it does not exist.
    fence: _rows.FenceRow | None


@attrs.frozen
class _HeldLease:
    """The lease that this process holds."""

    #: The fencing token.
    fence: int
    #: Version of the fence row.
    fence_version: int
    #: Version of the lease row.
    lease_version: int
    #: Local monotonic time until which the lease is valid, in seconds.
    valid_until_s: float


@attrs.frozen
class _ObservedLease:
    """Another process's lease, observed for changes."""

    #: Version of the lease row.
    version: int
    #: Local monotonic time when this version was first seen, in seconds.
    first_seen_s: float


class Lease:
    """Lease of one duty, as seen by one process.

    The holder counts the validity of its lease on its own clock, from before
    it sent the renewal. A successor acquires the lease once its own clock
    shows the row unchanged for more than the holder's TTL, the longest call
    and the margin together. Call :meth:`tick` periodically.

    Example::

        await lease.tick()
        if lease.is_held(now_s):
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
        self._held_lease: _HeldLease | None = None
        self._observed: _ObservedLease | None = None
        self._lock = asyncio.Lock()
        #: Holder at the last read, empty if there was none.
        self.last_seen_holder = ""
        #: Local monotonic time since which the lease has been available,
        #: in seconds; ``None`` while it is held.
        self.available_since_s: float | None = None

    # State of the held lease.

    def is_held(self, now_s: float) -> bool:
        """Return whether this process holds the lease."""
        return self.remaining_s(now_s) > 0.0

    def remaining_s(self, now_s: float) -> float:
        """Return the remaining validity of the lease, 0 if not held.

        Calls made under the lease must use a shorter timeout.
        """
        if self._held_lease is None:
            return 0.0
        return max(self._held_lease.valid_until_s - now_s, 0.0)

    def fence(self, now_s: float) -> int:
        """Return the fencing token, or raise :class:`LeaseLost`."""
        return self._require_held(now_s).fence

    def checks(self, now_s: float) -> tuple[ports.Check, ...]:
        """Return the checks that every transaction of the duty must include.

        Raises :class:`LeaseLost`. A transaction with these checks fails
        once another process has acquired the lease, even if it arrives late.
        """
        held_lease = self._require_held(now_s)
        key = _rows.fence_key(self.duty)
        return (_check(key, held_lease.fence_version),)

    # State transitions.

    async def tick(self, acquire: bool = True) -> bool:
        """Renew, observe or acquire the lease; return whether it is held.

        An available lease is acquired only if ``acquire`` is true. Store
        errors are ignored: a lease that cannot be renewed expires.
        """
        async with self._lock:
            try:
                if self._held_lease is not None:
                    await self._renew(self._held_lease)
                else:
                    await self._observe(acquire)
            except (errors.StoreUnavailable, errors.OutcomeUnknown):
                self._discard_if_expired()
        return self.is_held(self._client.now_s())

    async def release(self) -> None:
        """Release the lease, so that another process can acquire it at once.

        Call this only after all calls made under the lease have ended.
        """
        async with self._lock:
            held_lease, self._held_lease = self._held_lease, None
            if held_lease is None:
                return
            released = _rows.LeaseRow(holder="", ttl_s=0.0, nonce="")
            with contextlib.suppress(
                errors.StoreUnavailable,
                errors.OutcomeUnknown,
                errors.TableConflict,
            ):
                await self._write_lease(released, held_lease.lease_version)

    def _require_held(self, now_s: float) -> _HeldLease:
        if self._held_lease is None or not self.is_held(now_s):
            raise LeaseLost(duty=self.duty)
        return self._held_lease

    def _discard_if_expired(self) -> None:
        """Drop an expired lease, so that the next step rereads the rows."""
        if not self.is_held(self._client.now_s()):
            self._held_lease = None

    async def _renew(self, held_lease: _HeldLease) -> None:
        sent_s = self._client.now_s()
        row = _rows.LeaseRow(self.holder, self._bounds.ttl_s, nonce="")
        try:
            version = await self._write_lease(row, held_lease.lease_version)
        except errors.TableConflict:
            # Either another process acquired the lease, or an earlier write of
            # this process took effect late.
            self._held_lease = None
            return
        self._held_lease = attrs.evolve(
            held_lease,
            lease_version=version,
            valid_until_s=self._valid_until_s(sent_s),
        )

    async def _observe(self, acquire: bool) -> None:
        snapshot = await self._read_rows()
        now_s = self._client.now_s()
        self.last_seen_holder = snapshot.lease.holder if snapshot.lease else ""
        if snapshot.lease is not None and snapshot.lease.holder == self.holder:
            await self._resume(snapshot)
            return
        if (
            self._observed is None
            or self._observed.version != snapshot.lease_version
        ):
            self._observed = _ObservedLease(snapshot.lease_version, now_s)
        if not self._is_available(snapshot, now_s):
            self.available_since_s = None
            return
        if self.available_since_s is None:
            self.available_since_s = now_s
        if acquire:
            await self._acquire(snapshot)

    def _is_available(self, snapshot: _Snapshot, now_s: float) -> bool:
        if snapshot.lease is None or not snapshot.lease.holder:
            return True
        if self._observed is None:
            return False
        wait_s = (
            snapshot.lease.ttl_s
            + self._bounds.max_call_s
            + self._bounds.margin_s
        )
        return now_s - self._observed.first_seen_s > wait_s

    async def _resume(self, snapshot: _Snapshot) -> None:
        """Resume a lease that is already held by this incarnation."""
        if snapshot.fence is None or snapshot.fence.holder != self.holder:
            return
        await self._renew(
            _HeldLease(
                fence=snapshot.fence.fence,
                fence_version=snapshot.fence_version,
                lease_version=snapshot.lease_version,
                valid_until_s=0.0,
            )
        )

    async def _acquire(self, snapshot: _Snapshot) -> None:
        sent_s = self._client.now_s()
        nonce = self._client.nonce()
        fence = snapshot.fence.fence + 1 if snapshot.fence else 1
        lease_key = _rows.lease_key(self.duty)
        fence_key = _rows.fence_key(self.duty)
        lease = _rows.LeaseRow(self.holder, self._bounds.ttl_s, nonce)
        fence_row = _rows.FenceRow(fence, self.holder, nonce)
        transaction = ports.Transaction(
            checks=(
                ports.Check(
                    lease_key.table, lease_key.key, snapshot.lease_version
                ),
                ports.Check(
                    fence_key.table, fence_key.key, snapshot.fence_version
                ),
            ),
            writes=(
                _write(lease_key, lease),
                _write(fence_key, fence_row),
            ),
        )
        self._observed = None
        self.available_since_s = None
        try:
            committed = await self._client.commit_resolved(
                transaction, fence_key, nonce
            )
        except errors.TableConflict:
            return
        self._held_lease = _HeldLease(
            fence=fence,
            fence_version=committed.versions[1],
            lease_version=committed.versions[0],
            valid_until_s=self._valid_until_s(sent_s),
        )

    async def _read_rows(self) -> _Snapshot:
        lease, fence = await self._client.read(
            [_rows.lease_key(self.duty), _rows.fence_key(self.duty)]
        )
        return _Snapshot(
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

    def _valid_until_s(self, sent_s: float) -> float:
        return sent_s + self._bounds.ttl_s - self._bounds.margin_s


def _write(key: ports.RowKey, row: object) -> ports.Write:
    return ports.Write(key.table, key.key, store.encode(row))


def _check(key: ports.RowKey, version: int) -> ports.Check:
    return ports.Check(key.table, key.key, version)
