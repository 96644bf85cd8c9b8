"""An event loop on whose time a process that can't run misses no limit.

A limit of real time also fails a test whose process had no processor. In this
loop all limits keep their lengths, and waits, work and calls that block count
in full, unless a call stops all threads without computing. A pause of the
whole process counts as one step at most, and the time for which the thread of
the loop was ready and got no processor doesn't count.
"""

import asyncio
import pathlib
import selectors
import threading
import time

#: Longest time between two counts, in seconds.
STEP_S = 0.005
#: Most that a step counts unless the process computed for longer, in seconds.
MAX_IDLE_STEP_S = 0.01
#: What the kernel counts of the thread that reads it, in nanoseconds: time on
#: a processor, and time for which it was ready and waited for one.
SCHEDULING = pathlib.Path("/proc/thread-self/schedstat")


def _waited_s() -> float:
    """Return how long this thread was ready and had no processor.

    It is 0 where the kernel doesn't count it; such time is counted then.
    """
    if not SCHEDULING.exists():
        return 0.0
    _computed_ns, waited_ns, _slices = SCHEDULING.read_text().split()
    return int(waited_ns) / 1e9


class _Clock:
    """Counts the time of the thread that made it.

    Another thread counts steps as well, since the first can't while it is
    blocked in a call; both stand still only if the process does.
    """

    def __init__(self) -> None:
        self._elapsed_s = 0.0
        #: Time counted since the thread last read the clock.
        self._counted_s = 0.0
        self._real_s = time.monotonic()
        self._computed_s = time.process_time()
        #: What the thread last read, in seconds: real time, the time that it
        #: computed, and that for which it waited for a processor.
        self._thread_real_s = self._real_s
        self._thread_computed_s = time.thread_time()
        self._thread_waited_s = _waited_s()
        self._lock = threading.Lock()
        self._closed = threading.Event()
        self._counting = threading.Thread(
            target=self._count_steps, daemon=True
        )
        self._counting.start()

    def close(self) -> None:
        """End the thread that counts steps."""
        self._closed.set()
        self._counting.join()

    def now_s(self) -> float:
        """Return the time; only the thread that made the clock may ask."""
        computed_s, waited_s = time.thread_time(), _waited_s()
        with self._lock:
            self._count_step()
            counted_s, self._counted_s = self._counted_s, 0.0
            real_s, self._thread_real_s = (
                self._real_s - self._thread_real_s,
                self._real_s,
            )
        least_s = min(counted_s, computed_s - self._thread_computed_s)
        had_s = real_s - (waited_s - self._thread_waited_s)
        self._elapsed_s += max(min(counted_s, had_s), least_s)
        self._thread_computed_s = computed_s
        self._thread_waited_s = waited_s
        return self._elapsed_s

    def _count_steps(self) -> None:
        while not self._closed.wait(STEP_S):
            with self._lock:
                self._count_step()

    def _count_step(self) -> None:
        real_s, computed_s = time.monotonic(), time.process_time()
        most_s = max(computed_s - self._computed_s, MAX_IDLE_STEP_S)
        self._counted_s += min(real_s - self._real_s, most_s)
        self._real_s = real_s
        self._computed_s = computed_s


class _SteppingSelector(selectors.DefaultSelector):
    """Waits no longer than a step, as its caller's clock may run slowly."""

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        step_s = STEP_S if timeout is None else min(timeout, STEP_S)
        return super().select(step_s)


class OwnTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers run on the time that its thread has.

    Tests that are marked ``own_time`` run in it.

    Example::

        loop = OwnTimeLoop()
        loop.run_until_complete(asyncio.sleep(0.1))
        loop.close()
    """

    def __init__(self) -> None:
        self._clock = _Clock()
        super().__init__(_SteppingSelector())

    def time(self) -> float:
        """Return the time that the thread of the loop has had, in seconds."""
        return self._clock.now_s()

    def close(self) -> None:
        """Close the loop and end its clock."""
        super().close()
        self._clock.close()
