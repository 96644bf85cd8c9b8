"""Keeps libraries that the daemon never uses out of its memory.

``structlog`` loads ``rich``, where it is installed, for coloured output that
the daemon never prints: more than 3 of its 64 megabytes. Import this module
before any other.
"""

import sys

#: Optional parts of libraries that are left out.
LEFT_OUT = ("rich",)

for _name in LEFT_OUT:
    # The import system takes None for a module that cannot be had.
    sys.modules.setdefault(_name, None)  # type: ignore[arg-type]
