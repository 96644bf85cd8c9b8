"""Validated settings of the daemon, read from one YAML file."""

from ._gateway import GatewayBounds
from ._gateway import GatewayListenSettings
from ._gateway import GatewayPlatformSettings
from ._gateway import GatewaySettings
from ._load import load
from ._load import load_text
from ._load import Problem
from ._load import Settings
from ._load import SettingsInvalid
from ._model import AdapterSettings
from ._model import AgentSettings
from ._model import DutySettings
from ._model import EntrySettings
from ._model import FleetSettings
from ._model import HttpSettings
from ._model import LinkSettings
from ._model import LogSettings
from ._model import MembershipSettings
from ._model import PlatformSettings
from ._model import PolicySettings
from ._model import SecretSettings
from ._model import StoreSettings
from ._model import TraceSettings
from ._model import UsageSettings

__all__ = [
    "AdapterSettings",
    "AgentSettings",
    "DutySettings",
    "EntrySettings",
    "FleetSettings",
    "GatewayBounds",
    "GatewayListenSettings",
    "GatewayPlatformSettings",
    "GatewaySettings",
    "HttpSettings",
    "LinkSettings",
    "LogSettings",
    "MembershipSettings",
    "PlatformSettings",
    "PolicySettings",
    "Problem",
    "SecretSettings",
    "Settings",
    "SettingsInvalid",
    "StoreSettings",
    "TraceSettings",
    "UsageSettings",
    "load",
    "load_text",
]
