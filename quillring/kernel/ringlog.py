"""Logging to a ring buffer in memory that is written to a file at an error."""

from __future__ import annotations

import collections
import logging


class RingHandler(logging.Handler):
    """Keeps the last `room` records in memory and appends them to a file at each error."""

    def __init__(self, path: str | None = None, room: int = 2000) -> None:
        super().__init__()
        self.ring: collections.deque[str] = collections.deque(maxlen=room)
        self.path = path

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer the record; if it is an error, write the buffer to the file."""
        self.ring.append(self.format(record))
        if record.levelno >= logging.ERROR:
            self.dump()

    def dump(self) -> None:
        """Append the buffer to its file, if it has one, and clear it."""
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
