"""The entry: takes callers' requests and carries them to endpoints.

``front`` takes requests from callers, ``core`` admits them and carries them to
endpoints, ``admin`` answers operators. ``knowledge`` follows configuration,
members, hosts and peers, ``accounting`` settles usage, and ``planners`` decide
on roles and the size of the fleet. The modules here put them together and run
them.
"""

from ._process import run

__all__ = ["run"]
