"""Port to the platform's lagging list of hosts."""

import enum
import typing

import attrs


class HostState(enum.StrEnum):
    """What the platform says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class HostRecord:
    """One host as the platform lists it."""

    #: Name of the host.
    host_id: str
    #: IP number of the host.
    address: str
    #: The failure domain it is in.
    failure_domain: str
    #: Whether it is to go away.
    state: HostState


class HostList(typing.Protocol):
    """Lists hosts, seconds late; errors as those of the table service."""

    async def hosts(self, timeout_s: float) -> tuple[HostRecord, ...]:
        """Return all hosts that the platform knows."""
