"""Waits for what must happen, however loaded the machine is."""

import asyncio
import collections.abc

#: Longest wait for anything that must happen; generous, for loaded machines.
PATIENCE_S = 60.0
#: Time between two looks at whether it has.
LOOK_S = 0.05

Condition = collections.abc.Callable[[], collections.abc.Awaitable[bool]]


async def eventually(check: Condition, what: str) -> None:
    """Wait until ``check`` holds."""
    deadline_s = asyncio.get_running_loop().time() + PATIENCE_S
    while not await check():
        if asyncio.get_running_loop().time() > deadline_s:
            raise TimeoutError(f"never came: {what}")
        await asyncio.sleep(LOOK_S)


async def listening(address: str, port: int) -> bool:
    """Return whether something listens there."""
    try:
        _, writer = await asyncio.open_connection(address, port)
    except OSError:
        return False
    writer.close()
    return True
