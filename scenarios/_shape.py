"""What a fleet is made of."""

import pathlib

import attrs

from bilberrydeal import settings

from . import _process
from . import _proxy

MODEL = "m"
SHOP = "shop"
ORGANISATIONS = ("russo", "derwent")
#: Length of a usage window in scenarios.
WINDOW_S = 2


@attrs.frozen
class Shape:
    """What a fleet is made of."""

    entries: int = 2
    #: Engines, spread over four failure domains.
    engines: int = 2
    plains: int = 1
    #: Whether engines and the endpoint interface refuse old numbers.
    checks_fencing: bool = True
    #: Time that a role change takes an engine away.
    change_s: float = 1.0
    #: Requests that an agent hands to its endpoint at once.
    running_limit: int = 16
    #: Whether hosts are reached through proxies; measurements go without.
    proxied: bool = True
    #: Time of one engine step: one token for each stream.
    step_s: float = 0.004
    #: Names of the deciding systems.
    policy: settings.PolicySettings = settings.PolicySettings()
    #: Whether the product orders endpoints and changes roles.
    planning_enabled: bool = False
    #: Bounds of planning for each failure domain.
    fewest_per_domain: int = 2
    most_per_domain: int = 2
    #: Calls of entries to the platform that are held back from the start.
    held_call_prefix: bytes = b""


@attrs.define
class Host:
    """One host: its processes and the proxies on its hops."""

    name: str
    number: int
    failure_domain: str
    #: Engine or plain service, ``None`` on an entry's host.
    endpoint: _process.Process | None
    #: Entry or agent.
    process: _process.Process
    #: What others reach the host through.
    front_proxy: _proxy.Proxy
    #: What the host reaches the platform through.
    store_proxy: _proxy.Proxy
    #: Journal of the endpoint.
    journal: pathlib.Path

    @property
    def processes(self) -> tuple[_process.Process, ...]:
        """Return all processes of the host."""
        return (self.process, *((self.endpoint,) if self.endpoint else ()))
