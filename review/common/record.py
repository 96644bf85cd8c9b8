"""What a script writes down of what was sent, answered and run."""

import pathlib
import time


class Record:
    """Writes timed lines to ``record.txt`` in the folder of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the beginning, in seconds."""
        return time.monotonic() - self._began_s

    def add(self, kind: str, text: str) -> None:
        """Write one event."""
        self._file.write(f"{self.now_s():9.3f} {kind:8} {text}\n")
        self._file.flush()
