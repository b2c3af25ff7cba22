"""Log files between checkpoints: what one holds, and which log it goes on from."""

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

    `follows` is the generation whose log it goes on from, if any, and `former_size` how many bytes
    long that one was by then. `is_marked` tells that each batch begins with a mark.
    """

    generation: int
    follows: int | None = None
    former_size: int = 0
    is_marked: bool = True

    @classmethod
    def from_disk(cls, record: Any) -> LogHead | None:
        """Read the head, or return None when the record is none.

        The heads of the earliest logs are their generation alone; those of earlier ones have no
        mark.
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
        """Return the head as it stands on disk."""
        return {
            "generation": self.generation,
            "follows": self.follows,
            "former_size": self.former_size,
            "marked": self.is_marked,
        }


class LogContents(NamedTuple):
    """What a log file holds; all behind `good_size` bytes is the torn end of the last batch."""

    head: LogHead
    records: list[Any]
    good_size: int


def read_log(file_name: str, data: bytes) -> LogContents | None:
    """Return what the bytes of a log file hold, or None when its head is not there.

    Raises Damaged when more is unreadable than a loss of power can have torn.
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
    """Return the file of a generation's log: two are written alternately."""
    return f"log.{generation % 2}"
