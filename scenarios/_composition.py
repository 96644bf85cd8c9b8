"""The composition of a fleet."""

import pathlib

import attrs

from bilberrydeal import settings

from . import _process
from . import _proxy

MODEL = "m"
SHOP = "shop"
ORGANISATIONS = ("russo", "derwent")
#: Length of a usage window in scenarios, in seconds.
WINDOW_S = 2


@attrs.frozen
class Composition:
    """The number of processes of a fleet and their settings."""

    entries: int = 2
    #: Number of engines, spread over four failure domains.
    engines: int = 2
    plain_services: int = 1
    #: Whether engines and the endpoint API refuse old fencing tokens.
    checks_fencing: bool = True
    #: Time for which a role change makes an engine unavailable.
    change_s: float = 1.0
    #: Concurrent requests that an agent sends to its endpoint.
    running_limit: int = 16
    #: Whether traffic passes through proxies; not so in benchmarks.
    proxied: bool = True
    #: Duration of an engine step, which gives each stream one token.
    step_s: float = 0.004
    #: Name of the implementation used for each policy.
    policy: settings.PolicySettings = settings.PolicySettings()
    #: Whether entries purchase endpoints and change roles.
    planning_enabled: bool = False
    #: Bounds on the number of endpoints in each failure domain.
    fewest_per_domain: int = 2
    most_per_domain: int = 2
    #: First bytes of the calls to the platform held from the start.
    held_call_prefix: bytes = b""


@attrs.define
class Host:
    """One host: its processes and its proxies."""

    name: str
    number: int
    failure_domain: str
    #: Process of the engine or plain service, ``None`` on an entry.
    endpoint: _process.Process | None
    #: Process of the entry or agent.
    process: _process.Process
    #: Proxy for connections to the host.
    front_proxy: _proxy.Proxy
    #: Proxy for connections from the host to the platform.
    store_proxy: _proxy.Proxy
    #: Path of the endpoint's journal.
    journal: pathlib.Path

    @property
    def processes(self) -> tuple[_process.Process, ...]:
        """Return all processes of the host."""
        return (self.process, *((self.endpoint,) if self.endpoint else ()))
