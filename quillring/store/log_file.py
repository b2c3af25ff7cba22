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


def log_head(generation, follows=None, former_size=0):
    """Return the head record of a log whose batches begin with marks."""
    return {
        "generation": generation,
        "follows": follows,
        "former_size": former_size,
        "marked": True,
    }


def is_marked_head(records):
    """Tell whether the head says that each batch begins with a mark; earlier logs have none."""
    return bool(records) and isinstance(records[0], dict) and bool(records[0].get("marked"))


def log_name(generation):
    """Return the file of a generation's log."""
    return f"log.{generation % 2}"
