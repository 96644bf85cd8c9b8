"""Fleets that run at once share no address."""

import subprocess
import sys

from scenarios import _places

#: Fleets started by one long test process; more than its stride of blocks.
MANY = 40
#: Begins to look where its parent began.
NEIGHBOUR = """
import os
os.getpid = os.getppid
from scenarios import _places
print(_places.reserve().number)
"""


def test_fleets_of_one_process_differ() -> None:
    numbers = {_places.reserve().number for _ in range(MANY)}
    assert len(numbers) == MANY


def test_blocks_of_a_running_process_are_not_given_again() -> None:
    own = {_places.reserve().number for _ in range(MANY)}
    ran = subprocess.run(
        [sys.executable, "-c", NEIGHBOUR],
        check=True,
        capture_output=True,
        text=True,
    )
    assert int(ran.stdout) not in own
