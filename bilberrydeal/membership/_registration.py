"""Registers this process in the members table."""

import contextlib
import typing

import attrs

from .. import errors
from .. import ports
from .. import store
from . import _members

#: Maximum renewals per second of all members of one kind together.
RENEWALS_PER_S = 50.0


@attrs.define(slots=False, eq=False)
class RowTaken(errors.BilberrydealError):
    """Another incarnation owns the row, or it was swept.

    The process must start again with a new incarnation.
    """

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.FENCED

    #: Key of the row.
    key: str


@attrs.frozen
class _MarkerRow:
    """Content of a marker row, which exists while an entry is a member."""

    #: Identifies the write that produced the row.
    nonce: str


class Registration:
    """The member row of this process, and the marker row of an entry.

    An entry joins after binding its peer port. Rows of other incarnations at
    the same address and port therefore belong to processes that have ended,
    and are removed in the same transaction.

    Example::

        registration = Registration(client, member)
        await registration.join(wall_s)
        sent_s = await registration.renew(wall_s)
    """

    def __init__(
        self, client: store.StoreClient, member: _members.Member
    ) -> None:
        self.member = member
        self._client = client
        self._renew_s = member.renew_s
        #: Version of the member row, ``None`` while unknown.
        self._version: int | None = None

    def next_renewal_s(self, members: int) -> float:
        """Return the time to the next renewal, longer in a large fleet.

        The next write publishes it in the row.
        """
        period_s = max(self._renew_s, members / RENEWALS_PER_S)
        self.member = attrs.evolve(self.member, renew_s=period_s)
        return period_s

    async def join(self, wall_s: float) -> float:
        """Write the row; return the monotonic time at which it was sent."""
        row = await self._client.read_one(self._key)
        self._version = row.version if row else 0
        writes, checks = await self._join_writes()
        return await self._write(wall_s, writes, checks)

    async def renew(self, wall_s: float, **changes: object) -> float:
        """Write the row again, with the given fields changed.

        Returns the monotonic time at which it was sent. Raises
        :class:`RowTaken`.

        Example::

            await registration.renew(wall_s, role="decode", order_version=7)
        """
        self.member = attrs.evolve(self.member, **changes)  # type: ignore
        if self._version is None:
            self._version = await self._read_version()
        return await self._write(wall_s, [], [])

    async def remove(self) -> None:
        """Remove the row; a missing row is no error."""
        writes = [_delete(self._key)]
        if isinstance(self.member, _members.EntryMember):
            marker = _members.marker_key(self.member.incarnation)
            writes.append(_delete(marker))
        with contextlib.suppress(errors.TableConflict, RowTaken):
            if self._version is None:
                self._version = await self._read_version()
            check = _check(self._key, self._version)
            await self._client.commit(
                ports.Transaction(checks=(check,), writes=tuple(writes))
            )

    @property
    def _key(self) -> ports.RowKey:
        return ports.RowKey(_members.TABLE, self.member.key)

    async def _join_writes(
        self,
    ) -> tuple[list[ports.Write], list[ports.Check]]:
        """Return the other writes and checks of a join.

        An entry also writes its marker row and removes superseded rows.
        """
        if not isinstance(self.member, _members.EntryMember):
            return [], []
        marker_key = _members.marker_key(self.member.incarnation)
        marker = await self._client.read_one(marker_key)
        value = store.encode(_MarkerRow(nonce=self._client.nonce()))
        writes = [ports.Write(marker_key.table, marker_key.key, value)]
        checks = [_check(marker_key, marker.version if marker else 0)]
        for row in await self._client.scan_all(
            _members.TABLE, _members.ENTRIES
        ):
            found = _members.decode(row)
            if _supersedes(self.member, found):
                key = ports.RowKey(row.table, row.key)
                checks.append(_check(key, row.version))
                writes.append(_delete(key))
                writes.append(_delete(_marker_key_of(found)))
        return writes, checks

    async def _read_version(self) -> int:
        """Return the version of the row after a write of unknown outcome."""
        row = await self._client.read_one(self._key)
        if row is None:
            raise RowTaken(key=self._key.key)
        if _members.decode(row).incarnation != self.member.incarnation:
            raise RowTaken(key=self._key.key)
        return row.version

    async def _write(
        self,
        wall_s: float,
        more_writes: list[ports.Write],
        more_checks: list[ports.Check],
    ) -> float:
        sent_s = self._client.now_s()
        nonce = self._client.nonce()
        self.member = attrs.evolve(
            self.member, renewed_at_s=wall_s, nonce=nonce
        )
        key = self._key
        own_write = ports.Write(
            key.table, key.key, _members.encode(self.member)
        )
        checks = (_check(key, self._version or 0), *more_checks)
        transaction = ports.Transaction(checks, (own_write, *more_writes))
        self._version = None
        try:
            committed = await self._client.commit_resolved(
                transaction, key, nonce
            )
        except errors.TableConflict as error:
            raise RowTaken(key=key.key) from error
        self._version = committed.versions[0]
        return sent_s


def _supersedes(own: _members.EntryMember, other: _members.Member) -> bool:
    """Return whether a row is of an ended process at the same address."""
    return (
        isinstance(other, _members.EntryMember)
        and other.incarnation != own.incarnation
        and (other.address, other.peer_port) == (own.address, own.peer_port)
    )


def _marker_key_of(member: _members.Member) -> ports.RowKey:
    return _members.marker_key(member.incarnation)


def _check(key: ports.RowKey, version: int) -> ports.Check:
    return ports.Check(key.table, key.key, version)


def _delete(key: ports.RowKey) -> ports.Write:
    return ports.Write(key.table, key.key, None)
