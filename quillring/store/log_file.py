"""Log files: the format of the write-ahead log between two checkpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.kernel.errors import Damaged
from quillring.kernel.records import NamedTuple
from quillring.store.records import BATCH_MARK, decode_records, has_record_after

if TYPE_CHECKING:
    from quillring.kernel.types import WireMap

REPAIR = "keep a copy, empty the folder, start the store as a new member; hints refill it"


class LogHead(NamedTuple):
    """The first record of a log.

    `follows` is the generation whose log it continues, if any, and `former_size` the size of that
    log in bytes by then. `is_marked` says whether each batch begins with BATCH_MARK.
    """

    generation: int
    follows: int | None = None
    former_size: int = 0
    is_marked: bool = True

    @classmethod
    def from_disk(cls, record: Any) -> LogHead | None:
        """Read the head, or return None when the record is not one.

        Two older formats are read too: the generation alone, and a map without `marked`; batches
        of such logs have no marks.
        """
        if isinstance(record, int):
            return cls(record, is_marked=False)
        if isinstance(record, dict):
            return cls(
                record["generation"],
                record["follows"],
                record["former_size"],
                bool(record.get("marked")),
            )
        return None

    def to_disk(self) -> WireMap:
        """Return the head in its form on disk."""
        return {
            "generation": self.generation,
            "follows": self.follows,
            "former_size": self.former_size,
            "marked": self.is_marked,
        }


class LogContents(NamedTuple):
    """The contents of a log file; all bytes after `good_size` are the torn last batch."""

    head: LogHead
    records: list[Any]
    good_size: int


def read_log(file_name: str, data: bytes) -> LogContents | None:
    """Return the contents of a log file, or None when its head is missing.

    Raises Damaged when a batch before the last one is unreadable, since a crash can tear only the
    last one.
    """
    values, good_size = decode_records(data)
    records = [value for value in values if value != BATCH_MARK]
    head = LogHead.from_disk(records[0]) if records else None
    is_marked = BATCH_MARK in values or (head is not None and head.is_marked)
    if good_size < len(data) and has_record_after(data, good_size, is_marked):
        raise Damaged(file=file_name, reason="a record amid the log", repair=REPAIR)
    if head is None:
        return None
    return LogContents(head, records[1:], good_size)


def log_file_name(generation: int) -> str:
    """Return the name of a generation's log file; generations alternate between two."""
    return f"log.{generation % 2}"
