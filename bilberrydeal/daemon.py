"""The daemon: ``bilberrydeald FILE`` or ``bilberrydeald check-config FILE``.

The arguments are few and the agent's memory is small, so this module loads
only what the role in the settings file needs.
"""

import argparse
import pathlib
import sys

from . import __version__
from . import _lean  # noqa: F401
from . import settings

#: Exit code for settings or arguments that are wrong.
EXIT_USAGE = 2
_CHECK = "check-config"


def main() -> int:
    """Run the daemon and return its exit code."""
    parser = argparse.ArgumentParser(
        prog="bilberrydeald",
        description="Runs the role that the settings file names.",
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
        _check_names(chosen)
        if only_check:
            print("The settings are valid.")
            return 0
        return _run(chosen, pathlib.Path(words[-1]))
    except settings.SettingsInvalid as invalid:
        for problem in invalid.problems:
            print(problem, file=sys.stderr)
        return EXIT_USAGE


def _check_names(chosen: settings.Settings) -> None:
    """Raise ``SettingsInvalid`` for names that nobody registered."""
    if isinstance(chosen, settings.GatewaySettings):
        from . import _gateway_names

        unknown = _gateway_names.problems(chosen)
    else:
        from . import _names

        unknown = _names.problems(chosen)
    if unknown:
        raise settings.SettingsInvalid(problems=unknown)


def _run(chosen: settings.Settings, path: pathlib.Path) -> int:
    if isinstance(chosen, settings.EntrySettings):
        from . import entry

        return entry.run(chosen)
    if isinstance(chosen, settings.GatewaySettings):
        from . import gateway

        return gateway.run(chosen, path)
    from . import agent

    return agent.run(chosen)


if __name__ == "__main__":
    sys.exit(main())
