"""What callers and operators are told of origins that are unknown."""

import attrs
import pytest

from ... import errors
from ... import ports
from .. import core
from ..core import _metrics
from . import harness
from . import loopback
from . import memory
from . import resumptions


def _restarted(endpoint_id: str) -> core.StreamOrigin:
    """Return an origin whose engine has begun anew since."""
    return core.StreamOrigin("llm", endpoint_id, 77, "v0")


@pytest.mark.parametrize(
    ("reachable", "origin", "cause"),
    [
        (False, None, "unread"),
        (True, None, "unstored"),
        (True, _restarted("v1"), "doubtful"),
    ],
)
async def test_each_cause_of_an_unknown_origin_is_counted_by_itself(
    reachable: bool, origin: core.StreamOrigin | None, cause: str
) -> None:
    table = memory.MemoryStore(unreachable=not reachable)
    cluster = loopback.cluster(ports.EngineRole.DECODE)
    for version in ("v1", "v2"):
        cluster.set_endpoint(
            attrs.evolve(
                loopback.engine(ports.EngineRole.DECODE),
                endpoint_id=version,
                software_version=version,
            )
        )
    metrics = _metrics.GatewayMetrics()
    now_s = 1_000.0
    origins = harness.new_origins(table, "g1", cluster, metrics, lambda: now_s)
    if origin is not None:
        origins.resolver.note(resumptions.admitted(b"r1", now_s), origin)
    with pytest.raises(errors.Refusal) as refused:
        await origins.resolver.resolve(
            resumptions.admitted(b"r2", now_s, resumed_id=b"r1")
        )
    assert cause in refused.value.message
    counted = metrics.metrics.render().decode()
    lines = [
        line
        for line in counted.splitlines()
        if line.startswith("bilberrydeal_resumptions_total{")
    ]
    assert len(lines) == 1
    assert f'outcome="{cause}"' in lines[0]
