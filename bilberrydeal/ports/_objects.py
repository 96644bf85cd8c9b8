"""Port to the platform's object store."""

import typing


class ObjectStore(typing.Protocol):
    """Objects by name; raises the table service's errors."""

    async def put(self, name: str, data: bytes, timeout_s: float) -> None:
        """Store an object, replacing an existing one."""

    async def get(self, name: str, timeout_s: float) -> bytes | None:
        """Return an object, or ``None`` if it does not exist."""

    async def delete(self, name: str, timeout_s: float) -> None:
        """Delete an object; an absent one is ignored."""
