"""The daemon: ``bilberrydeald FILE`` or ``bilberrydeald check-config FILE``.

The daemon has few arguments and the agent little memory, so this module
imports only what the role in the settings file needs.
"""

import argparse
import pathlib
import sys

from . import __version__
from . import _blocked_imports  # noqa: F401
from . import settings

#: Exit code for invalid settings or arguments.
EXIT_USAGE = 2
_CHECK_COMMAND = "check-config"


def main() -> int:
    """Run the daemon and return its exit code."""
    parser = argparse.ArgumentParser(
        prog="bilberrydeald",
        description="Runs the role given in the settings file.",
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "words", nargs="+", metavar="[check-config] FILE", help="settings"
    )
    words = parser.parse_args().words
    check_only = words[0] == _CHECK_COMMAND and len(words) > 1
    if len(words) != 1 + check_only:
        parser.error("expected exactly one settings file")
    try:
        settings_ = settings.load(pathlib.Path(words[-1]))
        _check_names(settings_)
        if check_only:
            print("The settings are valid.")
            return 0
        return _run(settings_, pathlib.Path(words[-1]))
    except settings.SettingsInvalid as invalid:
        for problem in invalid.problems:
            print(problem, file=sys.stderr)
        return EXIT_USAGE


def _check_names(settings_: settings.Settings) -> None:
    """Raise ``SettingsInvalid`` for names that are not registered."""
    if isinstance(settings_, settings.GatewaySettings):
        from . import _gateway_names

        unknown = _gateway_names.problems(settings_)
    else:
        from . import _process_names

        unknown = _process_names.problems(settings_)
    if unknown:
        raise settings.SettingsInvalid(problems=unknown)


def _run(settings_: settings.Settings, path: pathlib.Path) -> int:
    if isinstance(settings_, settings.EntrySettings):
        from . import entry

        return entry.run(settings_)
    if isinstance(settings_, settings.GatewaySettings):
        from . import gateway

        return gateway.run(settings_, path)
    from . import agent

    return agent.run(settings_)


if __name__ == "__main__":
    sys.exit(main())
