"""The entry: receives callers' requests and dispatches them to endpoints.

``front`` is the HTTP interface for callers, ``core`` admits requests and
dispatches them, ``admin`` serves operators. ``knowledge`` follows
configuration, members, hosts and peers, ``accounting`` settles usage, and
``planners`` decide on engine roles and fleet size. The modules here assemble
and run these parts.
"""

from ._process import run

__all__ = ["run"]
