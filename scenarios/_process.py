"""One process of a fleet, driven by signals."""

import os
import pathlib
import signal
import subprocess
import sys

import attrs

#: How long a killed process may take to go.
KILL_TIMEOUT_S = 10.0


@attrs.define
class Process:
    """A Python module that runs as a process.

    Example::

        process = Process("p", "standins.plain", ("--port", "1"), log)
        process.start()
        process.pause()
    """

    #: Name in messages.
    name: str
    #: Module to run.
    module: str
    #: Its arguments.
    arguments: tuple[str, ...]
    #: File that its output is appended to.
    log: pathlib.Path
    _running: "subprocess.Popen[bytes] | None" = None

    def start(self) -> None:
        """Start the process, again if it has ended."""
        with self.log.open("ab") as output:
            self._running = subprocess.Popen(
                [sys.executable, "-m", self.module, *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        assert self._running is not None
        return self._running.pid

    @property
    def alive(self) -> bool:
        """Return whether the process runs or is paused."""
        return self._running is not None and self._running.poll() is None

    def kill(self) -> None:
        """End the process without a chance to react."""
        if self._running is not None and self.alive:
            self._running.kill()
            self._running.wait(KILL_TIMEOUT_S)

    def terminate(self) -> None:
        """Ask the process to shut down."""
        self._signal(signal.SIGTERM)

    def pause(self) -> None:
        """Stop the process until :meth:`resume`."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        self._signal(signal.SIGCONT)

    def wait(self, timeout_s: float) -> int:
        """Wait for the end and return the exit code."""
        assert self._running is not None
        return self._running.wait(timeout_s)

    def _signal(self, number: signal.Signals) -> None:
        assert self._running is not None
        self._running.send_signal(number)
