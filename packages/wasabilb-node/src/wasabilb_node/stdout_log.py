"""Non-blocking logging to standard output."""

import asyncio
import logging
import os
from collections import deque

# About a second of log lines at the busiest process.
MAX_QUEUED_BYTES = 256 << 10
FLUSH_INTERVAL_S = 0.05


class StdoutHandler(logging.Handler):
    """Writes lines without blocking and drops the newest if the reader is too slow.

    Lines of one short interval are written with one system call. The number of dropped lines is
    logged as soon as there is room.

    Parameters
    ----------
    fd : int
        File descriptor to write to; it is set to non-blocking mode.
    """

    def __init__(self, *, fd: int = 1) -> None:
        super().__init__()
        self._fd = fd
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._dropped = 0
        self._is_scheduled = False
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line."""
        try:
            line = self.format(record).encode("utf-8", "backslashreplace") + b"\n"
        except Exception:
            self.handleError(record)
            return
        if self._queued_bytes + len(line) > MAX_QUEUED_BYTES:
            self._dropped += 1
            return
        self._queue.append(line)
        self._queued_bytes += len(line)
        self._schedule()

    def flush(self) -> None:
        """Write as many queued bytes as the file descriptor accepts."""
        self._is_scheduled = False
        while self._queue:
            data = b"".join(self._queue)
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                break
            except OSError:
                # The output is closed, and there is no other place to log that.
                self._queue.clear()
                self._queued_bytes = 0
                return
            self._queue.clear()
            self._queued_bytes = len(data) - written
            if self._queued_bytes:
                self._queue.append(data[written:])
                break
        if self._dropped and not self._queue:
            notice = f"level=WARNING event=log_lines_dropped lines={self._dropped}\n".encode()
            self._dropped = 0
            self._queue.append(notice)
            self._queued_bytes += len(notice)
        if self._queue:
            self._schedule()

    def _schedule(self) -> None:
        if self._is_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._is_scheduled = True
        loop.call_later(FLUSH_INTERVAL_S, self.flush)
