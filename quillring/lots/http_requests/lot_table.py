"""The lots of HTTP requests in a part's state: their stored form, and the errors of submission.

The state is written to disk and sent to new members of the part's group, so its keys must not
change: `raw` (lots by key), `raw_held` (stored bytes), `raw_refusals` (by attempt), `raw_fences`
(tickets by reserving part), `raw_ledger` (reservations).
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from operator import itemgetter
from typing import Any, Literal, NotRequired, TypedDict

from quillring.kernel.errors import NotFound, QuillringError
from quillring.kernel.records import NamedTuple

State = dict[str, Any]
"""The complete state of a part. It is never modified in place; changes return a copy."""

FINISHED: Literal["finished"] = "finished"
ERRORED: Literal["errored"] = "errored"

RefusalReason = Literal["quota", "held", "fenced", "moved"]
QUOTA: RefusalReason = "quota"
HELD: RefusalReason = "held"
FENCED: RefusalReason = "fenced"
MOVED: RefusalReason = "moved"

ITEM_OVERHEAD_BYTES = 400
HELD_LIMIT_BYTES = 40 << 20
MAX_RECORDED_REFUSALS = 128


class QuotaExceeded(QuillringError):
    """The lot would exceed the forward's quota of pending tokens; none of its items will run."""

    kind = "quota_exceeded"
    status = 429
    may_retry_later = True


class HeldTooMuch(QuillringError):
    """The lot would take the part's stored bodies and results over their limit in bytes.

    None of its items will run.
    """

    kind = "held_too_much"
    status = 503
    may_retry_later = True


class Item(NamedTuple):
    """An HTTP request of a lot.

    `headers` contains [name, value] pairs, `tokens` is the cost that the client declared.
    """

    item_id: str
    target: str
    headers: Sequence[Sequence[str]]
    body: bytes
    tokens: int

    @classmethod
    def from_stored(cls, fields: Sequence[Any]) -> Item:
        """Read an item from its form in the state and in `raw.accept`."""
        item_id, target, headers, body, tokens = fields
        return cls(item_id, target, headers, body, tokens)

    def to_stored(self) -> list[Any]:
        """Return the item's form in the state and in `raw.accept`."""
        return [self.item_id, self.target, self.headers, self.body, self.tokens]


stored_body = itemgetter(Item._fields.index("body"))
"""Returns the body of a stored item. Creating an Item for each is too slow for sums over many."""

stored_tokens = itemgetter(Item._fields.index("tokens"))
"""Returns the tokens of a stored item."""


class ItemResult(NamedTuple):
    """A listed result; `state` is FINISHED or ERRORED, `text` the data of the event stream."""

    item_id: str
    state: str
    text: bytes

    @classmethod
    def from_stored(cls, fields: Sequence[Any]) -> ItemResult:
        """Read a result from its form in the state and in answers."""
        item_id, state, text = fields
        return cls(item_id, state, text)

    def to_stored(self) -> list[Any]:
        """Return the result's form in the state and in answers."""
        return [self.item_id, self.state, self.text]


stored_text = itemgetter(ItemResult._fields.index("text"))
"""Returns the text of a stored result."""


class LotRecord(TypedDict):
    """The stored form of a lot.

    `items` maps numbers to pending items, `results` lists the results in order, and `failed` maps
    item numbers to the ids of failed runs. `rounds` is the number of failed runs after which an
    item is errored. `tokens` (of pending items) and `weight` (stored bytes) are sums that are
    maintained incrementally. `ledger` is the part that reserved the tokens under `ticket`.
    """

    forward: str
    host: str
    digest: bytes
    at: int
    due_ms: int
    retain_ms: int
    rounds: int
    count: int
    tokens: int
    weight: int
    items: dict[int, Sequence[Any]]
    results: list[list[Any]]
    failed: dict[int, list[str]]
    ended: bool
    ledger: NotRequired[str]
    ticket: NotRequired[int]


def lot_records(state: State) -> dict[str, LotRecord]:
    """Return the part's lots by key."""
    records: dict[str, LotRecord] | None = state.get("raw")
    return records or {}


def find_lot(state: State, key: str) -> LotRecord:
    """Return the lot of this key, or raise NotFound."""
    lot = lot_records(state).get(key)
    if lot is None:
        raise NotFound(field="lot")
    return lot


def pending_tokens(state: State, forward: str) -> int:
    """Return the tokens of a forward's pending items in this part."""
    return sum(lot["tokens"] for lot in lot_records(state).values() if lot["forward"] == forward)


def bytes_of_items(items: Collection[Sequence[Any]]) -> int:
    """Return the approximate size of stored items in bytes."""
    return sum(map(len, map(stored_body, items))) + ITEM_OVERHEAD_BYTES * len(items)


def held_bytes(state: State) -> int:
    """Return the approximate size of a part's lots in bytes."""
    counted: int | None = state.get("raw_held")
    if counted is not None:
        return counted
    return sum(lot["weight"] for lot in lot_records(state).values())


def with_lots(state: State, lots: Mapping[str, LotRecord], change_bytes: int) -> State:
    """Return the state with its lots replaced; their total size differs by `change_bytes`."""
    if "raw_held" not in state:
        return {**state, "raw": lots}
    return {**state, "raw": lots, "raw_held": state["raw_held"] + change_bytes}


def with_lot(state: State, key: str, lot: LotRecord) -> State:
    """Return the state with a lot's record inserted or replaced."""
    lots = lot_records(state)
    previous = lots.get(key)
    previous_bytes = 0 if previous is None else previous["weight"]
    return with_lots(state, {**lots, key: lot}, lot["weight"] - previous_bytes)


def refusals_by_attempt(state: State) -> dict[str, RefusalReason]:
    """Return the reasons of the recorded refusals by attempt, oldest first."""
    recorded: dict[str, RefusalReason] | None = state.get("raw_refusals")
    return recorded or {}


def with_refusal(state: State, attempt: str, reason: RefusalReason) -> State:
    """Return the state with the refusal of an attempt recorded.

    Beyond MAX_RECORDED_REFUSALS the oldest refusals are evicted.
    """
    recorded = [*refusals_by_attempt(state).items(), (attempt, reason)][-MAX_RECORDED_REFUSALS:]
    return {**state, "raw_refusals": dict(recorded)}


def fence_of(state: State, reserving_part: str) -> int:
    """Return the highest fenced ticket of a reserving part, 0 if none is fenced."""
    fences: dict[str, int] = state.get("raw_fences") or {}
    return fences.get(reserving_part, 0)


def with_fence(state: State, reserving_part: str, ticket: int) -> State:
    """Return the state with a part's tickets fenced up to `ticket`; a fence is never lowered."""
    fences: dict[str, int] = state.get("raw_fences") or {}
    highest = max(ticket, fences.get(reserving_part, 0))
    return {**state, "raw_fences": {**fences, reserving_part: highest}}
