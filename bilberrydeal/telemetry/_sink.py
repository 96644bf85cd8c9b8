"""A non-blocking, rate-limited output stream for log lines."""

import os
import time

#: Maximum size of buffered lines, in bytes.
PENDING_LIMIT_BYTES = 262_144
#: Sustained rate limit, in lines per second.
LINES_PER_S = 400.0
#: Burst size of the rate limit, in lines.
LINES_BURST = 1_000.0

_DROPPED = '{"event": "log: Lines dropped.", "count": %d}\n'


class BoundedStream:
    """Writes to a file descriptor and drops lines instead of blocking.

    Lines are dropped while the reader stalls or the rate limit is exceeded.
    The next line written is preceded by a line with their count.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        #: Number of lines dropped so far.
        self.dropped = 0
        self._descriptor = descriptor
        self._pending = b""
        self._unreported = 0
        self._tokens = LINES_BURST
        self._refilled_s = time.monotonic()

    def write(self, text: str) -> int:
        """Write a line, or drop it."""
        if not text.strip():
            return len(text)
        if (
            not self._acquire_token()
            or len(self._pending) > PENDING_LIMIT_BYTES
        ):
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
        """Write as much of the buffer as possible without blocking."""
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe, so the buffer is discarded.
            written = len(self._pending)
        self._pending = self._pending[written:]

    def _acquire_token(self) -> bool:
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * LINES_PER_S
        self._tokens = min(self._tokens + refill, LINES_BURST)
        self._refilled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
