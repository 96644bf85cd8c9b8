"""The daemon: ``bilberrydeald FILE`` or ``bilberrydeald check-config FILE``.

The arguments are few and the agent's memory is small, so this module loads
only what the role in the settings file needs.
"""

import argparse
import pathlib
import sys

from . import __version__
from . import _lean  # noqa: F401
from . import _names
from . import settings

#: Exit code for settings or arguments that are wrong.
EXIT_USAGE = 2
_CHECK = "check-config"


def main() -> int:
    """Run the daemon and return its exit code."""
    parser = argparse.ArgumentParser(
        prog="bilberrydeald",
        description="Runs an entry or an agent, as the settings file says.",
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "words", nargs="+", metavar="[check-config] FILE", help="settings"
    )
    words = parser.parse_args().words
    only_check = words[0] == _CHECK and len(words) > 1
    if len(words) != 1 + only_check:
        parser.error("give one settings file")
    try:
        chosen = settings.load(pathlib.Path(words[-1]))
        unknown = _names.problems(chosen)
        if unknown:
            raise settings.SettingsInvalid(problems=unknown)
        if only_check:
            print("The settings are valid.")
            return 0
        return _run(chosen)
    except settings.SettingsInvalid as invalid:
        for problem in invalid.problems:
            print(problem, file=sys.stderr)
        return EXIT_USAGE


def _run(chosen: settings.EntrySettings | settings.AgentSettings) -> int:
    if isinstance(chosen, settings.EntrySettings):
        from . import entry

        return entry.run(chosen)
    from . import agent

    return agent.run(chosen)


if __name__ == "__main__":
    sys.exit(main())
