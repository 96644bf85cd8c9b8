"""Sets and removes named rows of a configuration table."""

from .. import operators
from . import _app
from . import _client
from . import _rollout


def set_row(table: str, name: str, body: object, target: _app.Target) -> None:
    """Set a row and print the committed revision."""
    committed = target.client.put(
        f"/{table}/{_client.quote_path_segment(name)}",
        body,
        operators.Committed,
    )
    _rollout.report(committed.revision, target, 0.0)


def remove_row(
    table: str, name: str, expected_revision: int, target: _app.Target
) -> None:
    """Remove a row if its revision is still ``expected_revision``."""
    path = f"/{table}/{_client.quote_path_segment(name)}"
    committed = target.client.delete(
        f"{path}?expected_revision={expected_revision}", operators.Committed
    )
    _rollout.report(committed.revision, target, 0.0)
