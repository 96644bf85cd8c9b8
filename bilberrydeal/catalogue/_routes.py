"""Finds the route of a request."""

import collections.abc

from . import _configuration


class RouteTable:
    """Routes by host and path prefix; the longest prefix wins.

    Prefixes begin and end with a slash, so the path is looked up at each of
    its slashes, longest first. The cost depends on the depth of the path and
    not on the number of routes.

    Example::

        table = RouteTable(configuration.routes)
        route = table.find(b"shop.example", b"/orders/17")
    """

    def __init__(
        self, routes: collections.abc.Iterable[_configuration.Route]
    ) -> None:
        self._hosts: dict[bytes, dict[bytes, _configuration.Route]] = {}
        for route in routes:
            prefixes = self._hosts.setdefault(route.host, {})
            prefixes[route.path_prefix] = route

    def find(self, host: bytes, path: bytes) -> _configuration.Route | None:
        """Return the route of a path; ``None`` if no route matches."""
        prefixes = self._hosts.get(host.partition(b":")[0].lower())
        if prefixes is None:
            return None
        end = path.rfind(b"/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind(b"/", 0, end)
        return None
