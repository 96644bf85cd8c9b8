"""How members and the exchange with peers grow."""

from bilberrydeal import configuration
from bilberrydeal import keys
from bilberrydeal import membership
from bilberrydeal import peers
from bilberrydeal import store
from bilberrydeal.systems import limits

from . import _slopes


def _agent(number: int) -> membership.AgentMember:
    return membership.AgentMember(
        endpoint_id=f"endpoint-{number:05d}",
        incarnation="h00001.66a1b2c3.1f",
        host_id=f"host-{number:05d}",
        address="10.11.12.13",
        control_port=7300,
        failure_domain="domain3",
        service="model-17",
        role="both",
        region="region2",
        nonce="n" * 32,
    )


@_slopes.SLOPES.register("members memory")
def members_memory() -> _slopes.Slope:
    """Measure what an entry keeps of all agents."""
    return _slopes.over(
        "agents' rows in memory, bytes",
        "endpoints",
        (5, 50, 500, 4000),
        lambda size: _slopes.memory_bytes(
            lambda: [_agent(i) for i in range(size)]
        ),
    )


@_slopes.SLOPES.register("members decode")
def members_decode() -> _slopes.Slope:
    """Measure the time to decode rows of agents."""

    def measure(size: int) -> float:
        rows = [store.encode(_agent(i)) for i in range(size)]
        kind = membership.AgentMember
        return _slopes.cpu_s(lambda: [store.decode(row, kind) for row in rows])

    return _slopes.over(
        "agents' rows decoded, s", "endpoints", (5, 50, 500, 4000), measure
    )


@_slopes.SLOPES.register("ask")
def ask_bytes() -> _slopes.Slope:
    """Measure one question of the exchange by what it reports."""

    def measure(size: int) -> float:
        needs = tuple(
            limits.OrganisationNeed(f"organisation-{i:05d}", 9.5, 900.0, 8, 4)
            for i in range(size)
        )
        ask = peers.ExchangeRequest(
            sender=peers.EntryAddress(
                "h00001.66a1b2c3.1f", "10.11.12.13", 7400, "domain3"
            ),
            nonce="n" * 32,
            revision=123_456,
            ages=(3.3,) * 17,
            need=limits.NeedReport("h00001.66a1b2c3.1f", 1234, needs),
        )
        return len(peers.ArrayCodec(peers.ExchangeRequest).encode(ask))

    return _slopes.over(
        "one question of the exchange, bytes",
        "organisations near their limit",
        (0, 5, 20, 40),
        measure,
    )


@_slopes.SLOPES.register("reply")
def reply_bytes() -> _slopes.Slope:
    """Measure one answer of the exchange by the changes in it."""
    change = configuration.SetOrganisation(
        configuration.Organisation("organisation-00001", 2.0, 10.0), 17
    )

    def measure(size: int) -> float:
        reply = peers.ExchangeReply(
            nonce="n" * 32,
            knowledge=keys.KeyFreshnessReport(
                "h00001.66a1b2c3.1f", 123_456, 0.31, blind=False
            ),
        )
        one = len(configuration.encode_change(change))
        empty = len(peers.ArrayCodec(peers.ExchangeReply).encode(reply))
        return empty + size * one

    return _slopes.over(
        "one answer of the exchange, bytes",
        "changes not known",
        (0, 1, 5, 20),
        measure,
        1,
    )
