"""Port to the platform's list of hosts, which lags by seconds."""

import enum
import typing

import attrs


class HostState(enum.StrEnum):
    """State of a host according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class HostRecord:
    """One host in the platform's list."""

    #: Name of the host.
    host_id: str
    #: IP address of the host.
    address: str
    #: Failure domain of the host.
    failure_domain: str
    #: Whether the host is live or leaving.
    state: HostState


class HostList(typing.Protocol):
    """Lists hosts, seconds late; raises the table service's errors."""

    async def hosts(self, timeout_s: float) -> tuple[HostRecord, ...]:
        """Return all hosts that the platform lists."""
