"""Entry point of the command line."""

import sys

import cyclopts

# Importing a command module registers its commands.
from . import _app
from . import _client
from . import _commands_fleet  # noqa: F401
from . import _commands_keys  # noqa: F401
from . import _commands_orgs  # noqa: F401
from . import _commands_roles  # noqa: F401
from . import _commands_routes  # noqa: F401
from . import _commands_trace  # noqa: F401


def main() -> int:
    """Run the command that the arguments name; return the exit code."""
    try:
        result = _app.APP(sys.argv[1:], exit_on_error=False, print_error=True)
    except cyclopts.CycloptsError:
        return _client.ExitCode.USAGE
    except _client.CallFailed as failed:
        print(failed.message, file=sys.stderr)
        return failed.exit_code
    return result if isinstance(result, int) else _client.ExitCode.OK
