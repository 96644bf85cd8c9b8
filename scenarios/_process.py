"""One process of a fleet, controlled by signals."""

import os
import pathlib
import signal
import subprocess
import sys

import attrs

#: Time that a killed process may take to exit.
KILL_TIMEOUT_S = 10.0


@attrs.define
class Process:
    """A Python module that runs as a process.

    Example::

        process = Process("p", "standins.plain", ("--port", "1"), log)
        process.start()
        process.pause()
    """

    #: Name used in messages.
    name: str
    #: Module to run.
    module: str
    #: Command-line arguments.
    arguments: tuple[str, ...]
    #: File that its output is appended to.
    log: pathlib.Path
    _popen: "subprocess.Popen[bytes] | None" = None

    def start(self) -> None:
        """Start the process, or restart it after it has exited."""
        with self.log.open("ab") as output:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", self.module, *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        assert self._popen is not None
        return self._popen.pid

    @property
    def alive(self) -> bool:
        """Return whether the process runs or is paused."""
        return self._popen is not None and self._popen.poll() is None

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        if self._popen is not None and self.alive:
            self._popen.kill()
            self._popen.wait(KILL_TIMEOUT_S)

    def terminate(self) -> None:
        """Send SIGTERM for a graceful shutdown."""
        self._signal(signal.SIGTERM)

    def hang_up(self) -> None:
        """Send SIGHUP, which tells of changed settings."""
        self._signal(signal.SIGHUP)

    def pause(self) -> None:
        """Stop the process until :meth:`resume`."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process."""
        self._signal(signal.SIGCONT)

    def wait(self, timeout_s: float) -> int:
        """Wait for the process to exit and return its exit code."""
        assert self._popen is not None
        return self._popen.wait(timeout_s)

    def _signal(self, number: signal.Signals) -> None:
        assert self._popen is not None
        self._popen.send_signal(number)
