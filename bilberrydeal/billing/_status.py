"""Sealed usage, as shown to operators."""

import attrs

from .. import ports
from .. import store
from . import _codec
from . import _rows


@attrs.frozen
class SealedUsage:
    """Usage of one sealed window."""

    #: Final figures.
    seal: _rows.SealRow
    #: Outcome of its reports, ``None`` before they were made.
    outcome: _rows.OutcomeRow | None


async def read_sealed(
    client: store.StoreClient, windows: int
) -> tuple[SealedUsage, ...]:
    """Return the newest sealed windows in ascending order."""
    head = await client.read_one(_rows.SEALED)
    if head is None:
        return ()
    last = store.decode(head.value, _rows.WindowHead).window
    wanted = range(last - windows + 1, last + 1)
    seals = await client.read([_rows.seal_key(w) for w in wanted])
    outcomes = await client.read([_rows.outcome_key(w) for w in wanted])
    return tuple(
        SealedUsage(_codec.decode_seal(seal.value), _outcome(outcome))
        for seal, outcome in zip(seals, outcomes, strict=True)
        if seal is not None
    )


def _outcome(row: ports.Row | None) -> _rows.OutcomeRow | None:
    return store.decode(row.value, _rows.OutcomeRow) if row else None
