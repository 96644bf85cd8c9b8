"""Commands for API keys of callers."""

import cyclopts

from .. import operators
from . import _app
from . import _client
from . import _output
from . import _rollout

KEYS = cyclopts.App(name="keys", help="API keys of callers.")
_app.APP.command(KEYS)


@KEYS.command(name="list")
def list_(*, target: _app.Target = _app.DEFAULT_TARGET) -> None:
    """Show all keys, without their secrets."""
    listed = target.client.get("/keys", operators.KeyList)
    _output.show(listed, listed.keys, target.json)


@KEYS.command
def issue(
    organisation: str,
    *,
    label: str = "",
    target: _app.Target = _app.DEFAULT_TARGET,
) -> None:
    """Issue a key and print its secret, which is never shown again."""
    body = operators.KeyInput(organisation=organisation, label=label)
    issued = target.client.post("/keys", body, operators.KeyIssued)
    if target.json:
        _output.show(issued, [], True)
    else:
        print(f"Key {issued.key_id} of {organisation}; it is not shown again:")
        print(issued.secret)


@KEYS.command
def withdraw(
    key_id: str,
    *,
    wait_s: float = 0.0,
    target: _app.Target = _app.DEFAULT_TARGET,
) -> None:
    """Withdraw a key permanently.

    Parameters
    ----------
    wait_s
        Seconds to wait until the change is in force at every entry.
    """
    path = f"/keys/{_client.quote_path_segment(key_id)}"
    committed = target.client.delete(path, operators.Committed)
    _rollout.report(committed.revision, target, wait_s)
