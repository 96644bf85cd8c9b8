import pytest

from bilberrydeal.systems import subsets

ENTRIES = tuple(
    subsets.EntryMember(f"entry{i}", f"d{i % 4}") for i in range(8)
)
ENDPOINTS = tuple(
    subsets.EndpointMember(f"e{i}", f"d{i % 4}", f"model{i % 5}")
    for i in range(100)
)


@pytest.mark.parametrize("name", subsets.SUBSETS.names())
def test_each_service_has_its_share(name: str) -> None:
    chooser = subsets.SUBSETS.get(name)()
    chosen = chooser.choose(ENTRIES[0], ENTRIES, ENDPOINTS, 40, 0.0)
    assert len(chosen) == 40
    for service in range(5):
        assert sum(e.service == f"model{service}" for e in chosen) == 8
