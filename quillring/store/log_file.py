"""The format of log files: the write-ahead log between two checkpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.kernel.errors import Damaged
from quillring.kernel.records import NamedTuple
from quillring.store.records import BATCH_MARK, decode_records, has_record_after

if TYPE_CHECKING:
    from quillring.kernel.types import WireMap

REPAIR_INSTRUCTIONS = (
    "keep a copy, empty the folder, start the store as a new member; hints refill it"
)


class LogHead(NamedTuple):
    """The first record of a log.

    `previous_generation` is the generation whose log it continues, if any, and `previous_size` the
    size of that log in bytes at the time. `has_batch_marks`: each batch begins with BATCH_MARK.
    """

    generation: int
    previous_generation: int | None = None
    previous_size: int = 0
    has_batch_marks: bool = True

    @classmethod
    def from_disk(cls, record: Any) -> LogHead | None:
        """Parse the head, or return None when the record is not one.

        Earlier versions wrote two other formats, in logs whose batches have no marks: only the
        generation, or a map without `marked`.
        """
        if isinstance(record, int):
            return cls(record, has_batch_marks=False)
        if isinstance(record, dict):
            return cls(
                record["generation"],
                record["follows"],
                record["former_size"],
                bool(record.get("marked")),
            )
        return None

    def to_disk(self) -> WireMap:
        """Return the head in its stored form."""
        return {
            "generation": self.generation,
            "follows": self.previous_generation,
            "former_size": self.previous_size,
            "marked": self.has_batch_marks,
        }


class LogContents(NamedTuple):
    """The contents of a log file; the bytes after `valid_size` are an incomplete last batch."""

    head: LogHead
    records: list[Any]
    valid_size: int


def read_log(file_name: str, data: bytes) -> LogContents | None:
    """Parse a log file; return None when its head is missing.

    Raises Damaged when a batch before the last one is unreadable: a crash can leave only the last
    batch incomplete.
    """
    values, valid_size = decode_records(data)
    records = [value for value in values if value != BATCH_MARK]
    head = LogHead.from_disk(records[0]) if records else None
    has_batch_marks = BATCH_MARK in values or (head is not None and head.has_batch_marks)
    if valid_size < len(data) and has_record_after(data, valid_size, has_batch_marks):
        raise Damaged(file=file_name, reason="a record amid the log", repair=REPAIR_INSTRUCTIONS)
    if head is None:
        return None
    return LogContents(head, records[1:], valid_size)


def log_file_name(generation: int) -> str:
    """Return the name of a generation's log file; generations alternate between two."""
    return f"log.{generation % 2}"
