import pytest

from bilberrydeal.agent import _guard
from bilberrydeal.link.tests import freeports


def test_second_agent_of_a_host_is_kept_out() -> None:
    port = freeports.take()
    first = _guard.Guard(port)
    with pytest.raises(_guard.GuardHeld):
        _guard.Guard(port)
    first.release()
    _guard.Guard(port).release()
