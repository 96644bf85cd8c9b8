"""A stream for log lines that never blocks its writer."""

import os
import time

#: Bytes of lines that wait for their reader at most.
PENDING_LIMIT_BYTES = 262_144
#: Lines written a second at most, averaged over bursts.
LINES_PER_S = 400.0
#: Lines that may be written at once after a quiet time.
LINES_BURST = 1_000.0

_DROPPED = '{"event": "log: Lines dropped.", "count": %d}\n'


class BoundedStream:
    """Writes to a file descriptor; drops lines rather than wait.

    Lines are dropped while the reader stalls or the rate is exceeded; the
    next line that passes is preceded by one with their count.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        #: Lines dropped so far.
        self.dropped = 0
        self._descriptor = descriptor
        self._pending = b""
        self._unreported = 0
        self._tokens = LINES_BURST
        self._filled_s = time.monotonic()

    def write(self, text: str) -> int:
        """Write a line, or drop it."""
        if not text.strip():
            return len(text)
        if not self._take() or len(self._pending) > PENDING_LIMIT_BYTES:
            self.dropped += 1
            self._unreported += 1
            return len(text)
        line = text if text.endswith("\n") else text + "\n"
        if self._unreported:
            line = _DROPPED % self._unreported + line
            self._unreported = 0
        self._pending += line.encode()
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone for good; lines have nowhere to go.
            written = len(self._pending)
        self._pending = self._pending[written:]

    def _take(self) -> bool:
        now_s = time.monotonic()
        earned = (now_s - self._filled_s) * LINES_PER_S
        self._tokens = min(self._tokens + earned, LINES_BURST)
        self._filled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
