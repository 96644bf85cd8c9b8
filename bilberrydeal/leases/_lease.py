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
    #: Era of the store at the read.
    era: int | None

    @property
    def is_of_era(self) -> bool:
        """Return whether the lease was acquired in this era of the store.

        If not, the rows are those of an older copy, or may be.
        """
        acquired_era = self.fence.era if self.fence is not None else None
        return acquired_era == self.era

    @property
    def token(self) -> int:
        """Return the fencing token of the fence row, 0 if there is none."""
        return self.fence.fence if self.fence is not None else 0


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
    #: Era of the store in which it was acquired.
    era: int | None


@attrs.frozen
class _ObservedLease:
    """Another process's lease, observed for changes."""

    #: Version of the lease row, with the era of the store.
    version: ports.StoreVersion
    #: Local monotonic time when this version was first seen, in seconds.
    first_seen_s: float


@attrs.frozen
class _ObservedEra:
    """The present era of the store."""

    #: The era.
    era: int | None
    #: Local monotonic time when it was first seen, in seconds.
    first_seen_s: float


class Lease:
    """Lease of one duty, as seen by one process.

    The holder counts the validity of its lease on its own clock, from before
    it sent the renewal. A successor acquires the lease once its own clock
    shows the row unchanged for more than the holder's TTL, the longest call
    and the margin together. Call :meth:`tick` periodically.

    A lease is held in one era of the store only. When a new one begins, the
    rows may be those of an older copy. The holder then acquires the lease
    anew while it is still valid on its own clock; all others wait as long as
    for a holder whose row they saw at the begin of the era.

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
        #: Whether this process let the lease expire, and has not read since
        #: that it can't go on with it.
        self._lapsed = False
        self._observed: _ObservedLease | None = None
        self._observed_era: _ObservedEra | None = None
        #: Greatest fencing token that this process has seen.
        self._greatest_token = 0
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
        held_lease = self._held_lease
        if held_lease is None or held_lease.era != self._client.era:
            return 0.0
        return max(held_lease.valid_until_s - now_s, 0.0)

    def may_renew(self, now_s: float) -> bool:
        """Return whether a held lease can be renewed, also in a new era."""
        held_lease = self._held_lease
        return held_lease is not None and now_s < held_lease.valid_until_s

    def may_resume(self, now_s: float) -> bool:
        """Return whether this process held the lease last, as far as known.

        It can go on with a lease that has expired as soon as it reaches the
        store; others have to watch the row first.
        """
        return self._lapsed or self.may_renew(now_s)

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
        return (
            _check(key, held_lease.fence_version),
            *self._era_checks(held_lease.era),
        )

    def transaction(
        self,
        now_s: float,
        writes: tuple[ports.Write, ...],
        checks: tuple[ports.Check, ...] = (),
    ) -> ports.Transaction:
        """Return a transaction of the duty, or raise :class:`LeaseLost`.

        Its outcome is unknown if the era of the store changes meanwhile.
        """
        held_lease = self._require_held(now_s)
        return ports.Transaction(
            (*self.checks(now_s), *checks), writes, held_lease.era
        )

    # State transitions.

    async def tick(self, acquire: bool = True) -> bool:
        """Renew, observe or acquire the lease; return whether it is held.

        An available lease is acquired only if ``acquire`` is true. Store
        errors are ignored: a lease that cannot be renewed expires.
        """
        async with self._lock:
            era = self._client.era
            await self._step(acquire)
            if era != self._client.era:
                # The step was made for the era before.
                await self._step(acquire)
        return self.is_held(self._client.now_s())

    async def release(self) -> None:
        """Release the lease, so that another process can acquire it at once.

        Call this only after all calls made under the lease have ended.
        """
        async with self._lock:
            held_lease, self._held_lease = self._held_lease, None
            self._lapsed = False
            if held_lease is None:
                return
            released = _rows.LeaseRow(holder="", ttl_s=0.0, nonce="")
            with contextlib.suppress(
                errors.StoreUnavailable,
                errors.OutcomeUnknown,
                errors.TableConflict,
            ):
                await self._write_lease(
                    released, held_lease.lease_version, held_lease.era
                )

    async def _step(self, acquire: bool) -> None:
        try:
            if self._held_lease is None:
                await self._observe(acquire)
            elif self._held_lease.era == self._client.era:
                await self._renew(self._held_lease)
            else:
                await self._renew_in_new_era()
        except (errors.StoreUnavailable, errors.OutcomeUnknown):
            self._discard_if_expired()
        self._note_era(self._client.now_s())

    def _require_held(self, now_s: float) -> _HeldLease:
        if self._held_lease is None or not self.is_held(now_s):
            raise LeaseLost(duty=self.duty)
        return self._held_lease

    def _discard_if_expired(self) -> None:
        """Drop an expired lease, so that the next step rereads the rows.

        One of an earlier era is kept until it expires: nobody else may
        acquire the lease until then.
        """
        if self._held_lease is None:
            return
        if not self.may_renew(self._client.now_s()):
            self._held_lease = None
            self._lapsed = True

    def _note_era(self, now_s: float) -> _ObservedEra:
        """Return the present era of the store and when it was first seen."""
        era = self._client.era
        if self._observed_era is None or self._observed_era.era != era:
            self._observed_era = _ObservedEra(era, now_s)
        return self._observed_era

    def _era_checks(self, era: int | None) -> tuple[ports.Check, ...]:
        """Return the checks that fail once a later era has a holder."""
        if era is None:
            return ()
        return (_check(_rows.era_key(self.duty, era + 1), 0),)

    async def _renew(self, held_lease: _HeldLease) -> None:
        sent_s = self._client.now_s()
        row = _rows.LeaseRow(self.holder, self._bounds.ttl_s, nonce="")
        try:
            version = await self._write_lease(
                row, held_lease.lease_version, held_lease.era
            )
        except errors.TableConflict:
            # Another process acquired the lease, an earlier write of this
            # process took effect late, or the row is that of an older copy.
            if held_lease.era == self._client.era:
                self._held_lease = None
            return
        self._held_lease = attrs.evolve(
            held_lease,
            lease_version=version,
            valid_until_s=self._valid_until_s(sent_s),
        )

    async def _renew_in_new_era(self) -> None:
        """Acquire the lease anew, unless another process has acquired it.

        No other process acquires it in a new era as long as a lease of the
        era before may be valid.
        """
        self._discard_if_expired()
        if self._held_lease is None:
            return
        snapshot = await self._read_rows()
        if not snapshot.is_of_era:
            await self._acquire(snapshot)
            return
        self._held_lease = None
        if snapshot.lease is not None and snapshot.lease.holder == self.holder:
            await self._resume(snapshot)

    async def _observe(self, acquire: bool) -> None:
        snapshot = await self._read_rows()
        now_s = self._client.now_s()
        self._note_era(now_s)
        self.last_seen_holder = snapshot.lease.holder if snapshot.lease else ""
        if (
            snapshot.lease is not None
            and snapshot.lease.holder == self.holder
            and snapshot.is_of_era
        ):
            await self._resume(snapshot)
            return
        self._lapsed = False
        version = ports.StoreVersion(snapshot.lease_version, snapshot.era)
        if self._observed is None or self._observed.version != version:
            self._observed = _ObservedLease(version, now_s)
        if not self._is_available(snapshot, now_s):
            self.available_since_s = None
            return
        if self.available_since_s is None:
            self.available_since_s = now_s
        if acquire:
            await self._acquire(snapshot)

    def _is_available(self, snapshot: _Snapshot, now_s: float) -> bool:
        if not snapshot.is_of_era and not self._era_is_old(now_s):
            return False
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

    def _era_is_old(self, now_s: float) -> bool:
        """Return whether no lease of the era before can still be valid."""
        wait_s = (
            self._bounds.ttl_s
            + self._bounds.max_call_s
            + self._bounds.margin_s
        )
        return now_s - self._note_era(now_s).first_seen_s > wait_s

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
                era=snapshot.era,
            )
        )

    async def _acquire(self, snapshot: _Snapshot) -> None:
        sent_s = self._client.now_s()
        nonce = self._client.nonce()
        fence = _rows.next_token(self._greatest_token, snapshot.era)
        lease_key = _rows.lease_key(self.duty)
        fence_key = _rows.fence_key(self.duty)
        lease = _rows.LeaseRow(self.holder, self._bounds.ttl_s, nonce)
        fence_row = _rows.FenceRow(fence, self.holder, nonce, snapshot.era)
        era_row = _rows.EraRow(self.holder, nonce)
        transaction = ports.Transaction(
            checks=(
                ports.Check(
                    lease_key.table, lease_key.key, snapshot.lease_version
                ),
                ports.Check(
                    fence_key.table, fence_key.key, snapshot.fence_version
                ),
                *self._era_checks(snapshot.era),
            ),
            writes=(
                _write(lease_key, lease),
                _write(fence_key, fence_row),
                *(
                    _write(_rows.era_key(self.duty, era), era_row)
                    for era in _rows.begun_eras(snapshot.era)
                ),
            ),
            era=snapshot.era,
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
            era=snapshot.era,
        )
        self._greatest_token = fence

    async def _read_rows(self) -> _Snapshot:
        era = self._client.era
        lease, fence = await self._client.read(
            [_rows.lease_key(self.duty), _rows.fence_key(self.duty)]
        )
        if era != self._client.era:
            raise errors.StoreUnavailable(operation="read, era changed")
        snapshot = _Snapshot(
            lease_version=lease.version if lease else 0,
            fence_version=fence.version if fence else 0,
            lease=store.decode(lease.value, _rows.LeaseRow) if lease else None,
            fence=store.decode(fence.value, _rows.FenceRow) if fence else None,
            era=era,
        )
        self._greatest_token = max(self._greatest_token, snapshot.token)
        return snapshot

    async def _write_lease(
        self, row: _rows.LeaseRow, version: int, era: int | None
    ) -> int:
        """Replace the lease row; return its new version."""
        key = _rows.lease_key(self.duty)
        nonce = self._client.nonce()
        value = store.encode(attrs.evolve(row, nonce=nonce))
        committed = await self._client.commit_resolved(
            ports.Transaction(
                checks=(_check(key, version), *self._era_checks(era)),
                writes=(ports.Write(key.table, key.key, value),),
                era=era,
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
