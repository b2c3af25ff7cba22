"""Logs between slots: what a log file holds, and which log it goes on from."""

from typing import NamedTuple


class Log(NamedTuple):
    """What a log file holds.

    `follows` is the generation whose log it goes on from, if any, and `former_size` how long that
    one was by then.
    """

    generation: int
    follows: int | None
    former_size: int
    records: list
    good_size: int

    @classmethod
    def from_records(cls, records, good_size):
        """Return the log of a file's records, or None when its head is not there."""
        head = records[0] if records else None
        if isinstance(head, int):
            return cls(head, None, 0, records[1:], good_size)
        if isinstance(head, dict):
            head_fields = (head["generation"], head["follows"], head["former_size"])
            return cls(*head_fields, records[1:], good_size)
        return None


def log_name(generation):
    """Return the file of a generation's log."""
    return f"log.{generation % 2}"
