"""Adapter registries, one per port."""

import typing

import aiohttp

from .. import ports
from .. import registry

Port = typing.TypeVar("Port", covariant=True)


class Adapter(typing.Protocol[Port]):
    """Factory of adapters for one port."""

    def __call__(self, session: aiohttp.ClientSession, url: str) -> Port:
        """Return an adapter for the service at ``url``."""


TABLES: registry.Registry[Adapter[ports.TableService]]
TABLES = registry.Registry("table adapter")
OBJECTS: registry.Registry[Adapter[ports.ObjectStore]]
OBJECTS = registry.Registry("object store adapter")
ENDPOINTS: registry.Registry[Adapter[ports.EndpointInterface]]
ENDPOINTS = registry.Registry("endpoint interface adapter")
USAGE: registry.Registry[Adapter[ports.UsageInterface]]
USAGE = registry.Registry("usage interface adapter")
HOSTS: registry.Registry[Adapter[ports.HostList]]
HOSTS = registry.Registry("host list adapter")
WEIGHTS: registry.Registry[Adapter[ports.WeightStore]]
WEIGHTS = registry.Registry("weight store adapter")
ENGINES: registry.Registry[Adapter[ports.Engine]]
ENGINES = registry.Registry("engine adapter")
PLAIN: registry.Registry[Adapter[ports.PlainService]]
PLAIN = registry.Registry("plain service adapter")
