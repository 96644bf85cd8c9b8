"""Keeps the own row in the members table."""

import typing

import attrs

from .. import errors
from .. import ports
from .. import store
from . import _members

#: Renewals that all members of a kind together write in a second, at most.
RENEWALS_PER_S = 50.0


@attrs.define(slots=False, eq=False)
class RowTaken(errors.BilberrydealError):
    """Another incarnation has the row, or it was swept; start anew."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.FENCED

    #: Key of the row.
    key: str


@attrs.frozen
class _Standing:
    """Content of the row that stands as long as an entry is a member."""

    #: Marks the write that set it.
    nonce: str


class Registration:
    """The row of this process; an entry's comes with a standing row.

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
        self._version = 0

    def renewal_s(self, members: int) -> float:
        """Return the time to the next renewal, longer in a large fleet."""
        return max(self.member.renew_s, members / RENEWALS_PER_S)

    async def join(self, wall_s: float) -> float:
        """Write the row; return when that was sent, monotonic seconds."""
        row = await self._client.read_one(self._key)
        self._version = row.version if row else 0
        return await self._write(wall_s, standing=True)

    async def renew(self, wall_s: float, **changes: object) -> float:
        """Write the row again, with changed fields where some are given.

        Returns when that was sent, monotonic seconds. Raises
        :class:`RowTaken`.

        Example::

            await registration.renew(wall_s, role="decode", order_version=7)
        """
        self.member = attrs.evolve(self.member, **changes)  # type: ignore
        return await self._write(wall_s, standing=False)

    async def leave(self) -> None:
        """Remove the row; one that is gone is no error."""
        writes = [ports.Write(_members.TABLE, self.member.key, None)]
        standing = self._standing()
        if standing is not None:
            writes.append(ports.Write(standing.table, standing.key, None))
        check = ports.Check(_members.TABLE, self.member.key, self._version)
        try:
            await self._client.commit(
                ports.Transaction(checks=(check,), writes=tuple(writes))
            )
        except errors.TableConflict:
            return

    @property
    def _key(self) -> ports.RowKey:
        return ports.RowKey(_members.TABLE, self.member.key)

    def _standing(self) -> ports.RowKey | None:
        if isinstance(self.member, _members.EntryMember):
            return _members.standing_key(self.member.incarnation)
        return None

    async def _write(self, wall_s: float, standing: bool) -> float:
        sent_s = self._client.now_s()
        nonce = self._client.nonce()
        self.member = attrs.evolve(
            self.member, renewed_at_s=wall_s, nonce=nonce
        )
        key = self._key
        writes = [
            ports.Write(key.table, key.key, _members.encode(self.member))
        ]
        checks = [ports.Check(key.table, key.key, self._version)]
        place = self._standing()
        if standing and place is not None:
            value = store.encode(_Standing(nonce=nonce))
            writes.append(ports.Write(place.table, place.key, value))
            checks.append(ports.Check(place.table, place.key, 0))
        try:
            committed = await self._client.commit_resolved(
                ports.Transaction(tuple(checks), tuple(writes)), key, nonce
            )
        except errors.TableConflict as error:
            raise RowTaken(key=key.key) from error
        self._version = committed.versions[0]
        return sent_s
