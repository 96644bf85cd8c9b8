"""The command that explains what became of a request."""

import pathlib
import sys

from .. import operators
from . import _app
from . import _client
from . import _output
from . import _trace

#: Stands for standard input.
STDIN = pathlib.Path("-")


@_app.APP.command
def trace(
    request: str, *logs: pathlib.Path, target: _app.Target = _app.DEFAULT
) -> int:
    """Tell the story of one request.

    Parameters
    ----------
    request
        The id that the caller sent, or the number that an entry gave.
    logs
        Files with gateways' logs, "-" for standard input. Without any, the
        entry is asked for a recent request.
    """
    if not logs:
        path = f"/trace/{_client.quoted(request)}"
        found = target.client.get(path, operators.Trace)
        _output.show(found, found.steps, target.json)
        return _client.ExitCode.OK
    told = _trace.story(_read(logs), request)
    if not told:
        print(f"No line names {request}.", file=sys.stderr)
        return _client.ExitCode.FAILED
    for line in told:
        print(line)
    return _client.ExitCode.OK


def _read(logs: tuple[pathlib.Path, ...]) -> list[_trace.Line]:
    lines: list[_trace.Line] = []
    for path in logs:
        if path == STDIN:
            lines.extend(_trace.parse("stdin", sys.stdin))
            continue
        with path.open(encoding="utf-8", errors="replace") as text:
            lines.extend(_trace.parse(path.stem, text))
    return lines
