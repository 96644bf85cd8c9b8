"""Concurrent test processes must not share ports."""

import socket
import subprocess
import sys

from . import freeports

#: Starts its search at the same place as its parent, for as many ports.
OTHER_PROCESS = """
import os
os.getpid = os.getppid
from bilberrydeal.link.tests import freeports
print(freeports.allocate_ports(16))
"""


def test_ports_are_consecutive_and_free() -> None:
    first = freeports.allocate_ports(16)
    second = freeports.allocate_ports()
    assert second not in range(first, first + 16)
    for port in range(first, first + 16):
        with socket.socket() as probe:
            probe.bind((freeports.ADDRESSES[1], port))


def test_other_process_gets_other_ports() -> None:
    own = freeports.allocate_ports(16)
    completed = subprocess.run(
        [sys.executable, "-c", OTHER_PROCESS],
        check=True,
        capture_output=True,
        text=True,
    )
    other = int(completed.stdout)
    assert abs(other - own) >= 16
