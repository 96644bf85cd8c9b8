"""Commands for callers' keys."""

import cyclopts

from .. import operators
from . import _app
from . import _client
from . import _output
from . import _spread

KEYS = cyclopts.App(name="keys", help="Callers' keys.")
_app.APP.command(KEYS)


@KEYS.command(name="list")
def list_(*, target: _app.Target = _app.DEFAULT) -> None:
    """Show all keys, without their secrets."""
    listed = target.client.get("/keys", operators.KeyList)
    _output.show(listed, listed.keys, target.json)


@KEYS.command
def issue(
    organisation: str,
    *,
    label: str = "",
    target: _app.Target = _app.DEFAULT,
) -> None:
    """Issue a key and show it, this once."""
    body = operators.KeyInput(organisation=organisation, label=label)
    issued = target.client.post("/keys", body, operators.KeyIssued)
    if target.json:
        _output.show(issued, [], True)
    else:
        print(f"Key {issued.key_id} of {organisation}, shown only now:")
        print(issued.secret)


@KEYS.command
def withdraw(
    key_id: str,
    *,
    wait_s: float = 0.0,
    target: _app.Target = _app.DEFAULT,
) -> None:
    """Withdraw a key for good.

    Parameters
    ----------
    wait_s
        Wait so long until the change is in force at every entry.
    """
    path = f"/keys/{_client.quoted(key_id)}"
    committed = target.client.delete(path, operators.Committed)
    _spread.announce(committed.revision, target, wait_s)
