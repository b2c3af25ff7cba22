"""The stored form of prompt lots in a part's state."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, TypedDict

State = dict[str, Any]
"""The complete state of a part; updates copy it and never mutate it."""

OPEN, ENDED, CANCELLED = "open", "ended", "cancelled"
"""The phases of a lot."""


class LotRecord(TypedDict):
    """A lot in the state, stored under `lots` by name.

    `results` maps item numbers to results. `started` maps the numbers of started items that must
    not run twice to the ballots of the leaders that started them. `count` is the number of items,
    `weight` their total length in characters. Once the lot has ended, `items` and `started` are
    empty.
    """

    sender: str
    entry: str
    items: Sequence[str]
    count: int
    digest: bytes
    weight: int
    results: dict[int, Mapping[str, str]]
    started: dict[int, Sequence[Any]]
    phase: str


class DropTable(TypedDict):
    """The lots that a part has dropped, stored under `lot_drops` in the state.

    `count` is the number of all drops. `kept` maps the names of the most recently dropped lots to
    the count after the drop, and `floor` is the highest count that was removed from `kept`.
    """

    count: int
    floor: int
    kept: dict[str, int]


def lot_records(state: State) -> dict[str, LotRecord]:
    """Return the records of the part's lots by name."""
    records: dict[str, LotRecord] = state["lots"]
    return records


def with_lot(state: State, name: str, lot: LotRecord) -> State:
    """Return the state with a lot's record inserted or replaced."""
    return {**state, "lots": {**state["lots"], name: lot}}
