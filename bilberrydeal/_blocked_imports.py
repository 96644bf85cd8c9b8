"""Blocks imports of unused optional dependencies to save memory.

``structlog`` imports ``rich``, if installed, for coloured output that the
daemon never prints. This takes more than 3 of the daemon's 64 megabytes.
Import this module before any other.
"""

import sys

#: Optional dependencies whose import is blocked.
BLOCKED_MODULES = ("rich",)

for _name in BLOCKED_MODULES:
    # A value of None makes the import system raise ModuleNotFoundError.
    sys.modules.setdefault(_name, None)  # type: ignore[arg-type]
