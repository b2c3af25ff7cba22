"""The lots of prompts in a part's state, in their stored form."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, TypedDict

State = dict[str, Any]
"""The whole state of a part; it is copied, never changed."""

OPEN, ENDED, CANCELLED = "open", "ended", "cancelled"
"""The phases of a lot."""


class LotRecord(TypedDict):
    """A lot in the state, under `lots` by name.

    `results` holds results and `started` the ballots of items that may not repeat, by item number;
    `weight` is the length of the items. An ended lot keeps its results only.
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
    """The lots that a part dropped, under `lot_drops` in the state.

    `count` is their number, `kept` the count at which each of the last ones was dropped, by name,
    and `floor` the highest count no longer in `kept`.
    """

    count: int
    floor: int
    kept: dict[str, int]


def lot_records(state: State) -> dict[str, LotRecord]:
    """Return the part's lots by name."""
    records: dict[str, LotRecord] = state["lots"]
    return records


def with_lot(state: State, name: str, lot: LotRecord) -> State:
    """Return the state with a lot's record inserted or replaced."""
    return {**state, "lots": {**state["lots"], name: lot}}
