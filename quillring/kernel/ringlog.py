"""Logs: a ring in memory that is written out when something goes wrong."""

from __future__ import annotations

import collections
import logging


class RingHandler(logging.Handler):
    """Keeps the last records in memory and writes them out at the first error."""

    def __init__(self, path: str | None = None, room: int = 2000) -> None:
        super().__init__()
        self.ring: collections.deque[str] = collections.deque(maxlen=room)
        self.path = path

    def emit(self, record: logging.LogRecord) -> None:
        """Keep the record; at an error write the whole ring to the file."""
        self.ring.append(self.format(record))
        if record.levelno >= logging.ERROR:
            self.dump()

    def dump(self) -> None:
        """Write the ring to its file and start it anew."""
        if self.path is None:
            return
        with open(self.path, "a", encoding="utf-8") as log_file:
            log_file.write("\n".join(self.ring) + "\n")
        self.ring.clear()


def ring_log(name: str, path: str | None = None) -> tuple[logging.Logger, RingHandler]:
    """Return the logger of the node and its ring."""
    node_logger = logging.getLogger(f"quillring.{name}")
    node_logger.setLevel(logging.DEBUG)
    node_logger.propagate = False
    ring_handler = RingHandler(path)
    ring_handler.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(message)s"))
    node_logger.handlers = [ring_handler]
    return node_logger, ring_handler
