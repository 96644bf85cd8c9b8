"""Port to the platform's object store."""

import typing


class ObjectStore(typing.Protocol):
    """Whole objects by name; errors as those of the table service."""

    async def put(self, name: str, data: bytes, timeout_s: float) -> None:
        """Store an object, replacing one of that name."""

    async def get(self, name: str, timeout_s: float) -> bytes | None:
        """Return an object, ``None`` where there is none."""

    async def delete(self, name: str, timeout_s: float) -> None:
        """Remove an object; one that is absent is no error."""
