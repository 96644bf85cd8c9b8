"""Polls for conditions with a timeout that suits loaded machines."""

import asyncio
import collections.abc

#: Timeout of every wait; generous, for loaded machines.
MAX_WAIT_S = 60.0
#: Time between two checks of a condition.
POLL_INTERVAL_S = 0.05

Condition = collections.abc.Callable[[], collections.abc.Awaitable[bool]]


async def eventually(check: Condition, what: str) -> None:
    """Wait until ``check`` returns true."""
    deadline_s = asyncio.get_running_loop().time() + MAX_WAIT_S
    while not await check():
        if asyncio.get_running_loop().time() > deadline_s:
            raise TimeoutError(f"timed out waiting for: {what}")
        await asyncio.sleep(POLL_INTERVAL_S)


async def listening(address: str, port: int) -> bool:
    """Return whether a connection to the address succeeds."""
    try:
        _, writer = await asyncio.open_connection(address, port)
    except OSError:
        return False
    writer.close()
    return True
