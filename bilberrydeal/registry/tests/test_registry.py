import pytest

from bilberrydeal import registry


def test_get_returns_what_was_registered() -> None:
    numbers: registry.Registry[int] = registry.Registry("number")
    numbers.register("one")(1)
    assert numbers.get("one") == 1


def test_unknown_name_lists_known_names() -> None:
    numbers: registry.Registry[int] = registry.Registry("number")
    numbers.register("two")(2)
    numbers.register("one")(1)
    with pytest.raises(registry.UnknownName) as caught:
        numbers.get("three")
    assert caught.value.known == ("one", "two")


def test_second_registration_is_an_error() -> None:
    numbers: registry.Registry[int] = registry.Registry("number")
    numbers.register("one")(1)
    with pytest.raises(ValueError, match="registered twice"):
        numbers.register("one")(2)
