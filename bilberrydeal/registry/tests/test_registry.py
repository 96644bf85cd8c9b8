import pytest

from bilberrydeal import registry


def test_get_returns_the_registered_item() -> None:
    """Guards against a decorator that does not register its argument."""
    numbers: registry.Registry[int] = registry.Registry("number")
    numbers.register("one")(1)
    assert numbers.get("one") == 1


def test_unknown_name_lists_registered_names() -> None:
    """Guards against an error that does not list the valid names."""
    numbers: registry.Registry[int] = registry.Registry("number")
    numbers.register("two")(2)
    numbers.register("one")(1)
    with pytest.raises(registry.UnknownName) as caught:
        numbers.get("three")
    assert caught.value.known == ("one", "two")


def test_duplicate_registration_is_an_error() -> None:
    """Guards against one implementation silently replacing another."""
    numbers: registry.Registry[int] = registry.Registry("number")
    numbers.register("one")(1)
    with pytest.raises(ValueError, match="registered twice"):
        numbers.register("one")(2)
