"""Tells a failure of the code from a process that was given no processor."""

import collections.abc
import contextlib
import threading
import time

import attrs

#: Interval between two steps of the thread that measures, in seconds.
STEP_S = 0.02
#: Lateness of a step that may come from the interpreter itself, which lets
#: one thread run at a time, in seconds.
USUAL_LATENESS_S = 0.03
#: Attempts without enough of a processor after which a failure counts.
ATTEMPTS = 10

Attempt = collections.abc.Callable[[], collections.abc.Awaitable[None]]


@attrs.define
class Standstill:
    """Time in which this process did not run."""

    #: Sum of all standstills so far, in seconds.
    lost_s: float = 0.0


@contextlib.contextmanager
def measured() -> collections.abc.Iterator[Standstill]:
    """Measure standstills by a thread of its own.

    An event loop that its own code blocks is no standstill.
    """
    standstill = Standstill()
    ended = threading.Event()

    def measure() -> None:
        before_s = time.monotonic()
        while not ended.wait(STEP_S):
            now_s = time.monotonic()
            late_s = now_s - before_s - STEP_S
            if late_s > USUAL_LATENESS_S:
                standstill.lost_s += late_s
            before_s = now_s

    thread = threading.Thread(target=measure, daemon=True)
    thread.start()
    try:
        yield standstill
    finally:
        ended.set()
        thread.join()


async def judge(attempt: Attempt, limit_s: float) -> None:
    """Run a check whose subject has a limit of real time.

    A failed attempt is repeated only if the process stood still for half of
    the limit meanwhile. One that failed while it ran is a failure.
    """
    for number in range(1, ATTEMPTS + 1):
        with measured() as standstill:
            try:
                await attempt()
                return
            except AssertionError as error:
                failure = error
        if standstill.lost_s < limit_s / 2 or number == ATTEMPTS:
            raise failure
        print(f"attempt {number} stood still for {standstill.lost_s:.2f} s")
