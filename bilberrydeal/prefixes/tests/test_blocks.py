import pytest

from bilberrydeal import prefixes


@pytest.mark.parametrize(
    ("one", "other", "shared"),
    [
        ("a" * 128, "a" * 128, 2),
        ("a" * 128, "a" * 64 + "b" * 64, 1),
        ("a" * 128, "b" + "a" * 127, 0),
        ("a" * 63, "a" * 63, 0),
    ],
)
def test_shared_leading_hashes(one: str, other: str, shared: int) -> None:
    """Guards against hashes that match although an earlier block differs."""
    pairs = zip(
        prefixes.block_hashes(one), prefixes.block_hashes(other), strict=True
    )
    assert [left == right for left, right in pairs].count(True) == shared


def test_token_estimate_rounds_up() -> None:
    """Guards against estimating fewer tokens than a prompt may have."""
    assert prefixes.estimate_tokens("abcde") == 2
