"""Sets and removes rows of the configuration by name."""

from .. import operators
from . import _app
from . import _client
from . import _spread


def put(kind: str, name: str, body: object, target: _app.Target) -> None:
    """Set a row and say with which revision it is in force."""
    committed = target.client.put(
        f"/{kind}/{_client.quoted(name)}", body, operators.Committed
    )
    _spread.announce(committed.revision, target, 0.0)


def remove(
    kind: str, name: str, expected_revision: int, target: _app.Target
) -> None:
    """Remove a row as it stood at a revision."""
    path = f"/{kind}/{_client.quoted(name)}"
    committed = target.client.delete(
        f"{path}?expected_revision={expected_revision}", operators.Committed
    )
    _spread.announce(committed.revision, target, 0.0)
