"""Measures how membership and the exchange with peers grow."""

from bilberrydeal import configuration
from bilberrydeal import keys
from bilberrydeal import membership
from bilberrydeal import peers
from bilberrydeal import store
from bilberrydeal.systems import limits

from . import _slopes


def _agent_member(index: int) -> membership.AgentMember:
    return membership.AgentMember(
        endpoint_id=f"endpoint-{index:05d}",
        incarnation="h00001.66a1b2c3.1f",
        host_id=f"host-{index:05d}",
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
    """Measure the memory of an entry for the rows of all agents."""
    return _slopes.measure_sizes(
        "agents' rows in memory, bytes",
        "endpoints",
        (5, 50, 500, 4000),
        lambda size: _slopes.memory_bytes(
            lambda: [_agent_member(index) for index in range(size)]
        ),
    )


@_slopes.SLOPES.register("members decode")
def members_decode() -> _slopes.Slope:
    """Measure the processor time to decode the rows of agents."""

    def measure(size: int) -> float:
        rows = [store.encode(_agent_member(index)) for index in range(size)]
        record_type = membership.AgentMember
        return _slopes.cpu_s(
            lambda: [store.decode(row, record_type) for row in rows]
        )

    return _slopes.measure_sizes(
        "agents' rows decoded, s", "endpoints", (5, 50, 500, 4000), measure
    )


@_slopes.SLOPES.register("ask")
def ask_bytes() -> _slopes.Slope:
    """Measure the size of an exchange request by the needs it reports."""

    def measure(size: int) -> float:
        needs = tuple(
            limits.OrganisationNeed(
                f"organisation-{index:05d}", 9.5, 900.0, 8, 4
            )
            for index in range(size)
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

    return _slopes.measure_sizes(
        "one question of the exchange, bytes",
        "organisations near their limit",
        (0, 5, 20, 40),
        measure,
    )


@_slopes.SLOPES.register("reply")
def reply_bytes() -> _slopes.Slope:
    """Measure the size of an exchange reply by the changes in it."""
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
        change_bytes = len(configuration.encode_change(change))
        empty_bytes = len(peers.ArrayCodec(peers.ExchangeReply).encode(reply))
        return empty_bytes + size * change_bytes

    return _slopes.measure_sizes(
        "one answer of the exchange, bytes",
        "changes not known",
        (0, 1, 5, 20),
        measure,
        1,
    )
