"""Logging to a ring buffer in memory that is written to a file when an error is logged."""

from __future__ import annotations

import collections
import logging


class RingHandler(logging.Handler):
    """Buffers the last `capacity` records in memory; appends them to a file at each error."""

    def __init__(self, path: str | None = None, capacity: int = 2000) -> None:
        super().__init__()
        self.ring: collections.deque[str] = collections.deque(maxlen=capacity)
        self.path = path

    def emit(self, record: logging.LogRecord) -> None:
        """Add the record to the buffer; if it is an error, write the buffer to the file."""
        self.ring.append(self.format(record))
        if record.levelno >= logging.ERROR:
            self.dump()

    def dump(self) -> None:
        """Append the buffer to the file and clear it; do nothing if no file is configured."""
        if self.path is None:
            return
        with open(self.path, "a", encoding="utf-8") as log_file:
            log_file.write("\n".join(self.ring) + "\n")
        self.ring.clear()


def ring_log(name: str, path: str | None = None) -> tuple[logging.Logger, RingHandler]:
    """Return the logger of a node and its ring-buffer handler."""
    node_logger = logging.getLogger(f"quillring.{name}")
    node_logger.setLevel(logging.DEBUG)
    node_logger.propagate = False
    ring_handler = RingHandler(path)
    ring_handler.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(message)s"))
    node_logger.handlers = [ring_handler]
    return node_logger, ring_handler
