"""Test processes that run at once share no port."""

import socket
import subprocess
import sys

from . import freeports

#: Begins to look where its parent began, and asks for as many ports.
NEIGHBOUR = """
import os
os.getpid = os.getppid
from bilberrydeal.link.tests import freeports
print(freeports.take(16))
"""


def test_ports_follow_each_other_and_are_free() -> None:
    first = freeports.take(16)
    second = freeports.take()
    assert second not in range(first, first + 16)
    for port in range(first, first + 16):
        with socket.socket() as probe:
            probe.bind((freeports.ADDRESSES[1], port))


def test_a_neighbour_gets_other_ports() -> None:
    own = freeports.take(16)
    ran = subprocess.run(
        [sys.executable, "-c", NEIGHBOUR],
        check=True,
        capture_output=True,
        text=True,
    )
    theirs = int(ran.stdout)
    assert abs(theirs - own) >= 16
