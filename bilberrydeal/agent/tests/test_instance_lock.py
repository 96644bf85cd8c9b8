import pytest

from bilberrydeal.agent import _instance_lock
from bilberrydeal.link.tests import freeports


def test_second_agent_of_a_host_cannot_acquire_the_lock() -> None:
    """Two agents of a host must never run at the same time."""
    port = freeports.allocate_ports()
    first = _instance_lock.InstanceLock(port)
    with pytest.raises(_instance_lock.InstanceLockHeld):
        _instance_lock.InstanceLock(port)
    first.release()
    _instance_lock.InstanceLock(port).release()
