"""The command that shows how a request was processed."""

import pathlib
import sys

from .. import operators
from . import _app
from . import _client
from . import _output
from . import _trace

#: Path that selects standard input.
STDIN = pathlib.Path("-")


@_app.APP.command
def trace(
    request: str,
    *logs: pathlib.Path,
    target: _app.Target = _app.DEFAULT_TARGET,
) -> int:
    """Show the timeline of one request.

    Parameters
    ----------
    request
        The id that the caller sent, or the one that an entry assigned.
    logs
        Log files of gateways, "-" for standard input. Without any, the
        timeline is read from the entry, which keeps recent requests.
    """
    if not logs:
        path = f"/trace/{_client.quote_path_segment(request)}"
        found = target.client.get(path, operators.Trace)
        _output.show(found, found.steps, target.json)
        return _client.ExitCode.OK
    timeline = _trace.request_timeline(_read(logs), request)
    if not timeline:
        print(f"No log line mentions request {request}.", file=sys.stderr)
        return _client.ExitCode.FAILED
    for line in timeline:
        print(line)
    return _client.ExitCode.OK


def _read(logs: tuple[pathlib.Path, ...]) -> list[_trace.LogLine]:
    lines: list[_trace.LogLine] = []
    for path in logs:
        if path == STDIN:
            lines.extend(_trace.parse("stdin", sys.stdin))
            continue
        with path.open(encoding="utf-8", errors="replace") as text:
            lines.extend(_trace.parse(path.stem, text))
    return lines
