"""Long-poll reads of lots at the leader of their part, which wait until there is a result."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from quillring.kernel.effects import Signal, Wait
from quillring.kernel.errors import NotFound, NotLeader
from quillring.lots.http_requests import messages
from quillring.lots.http_requests.commands import Wire, lot_in
from quillring.quorum.commands import QUERIES

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

FRESH_SHARE = 0.15
"""A state that a majority confirmed within this share of the read timeout is fresh."""


class ResultReader:
    """Answers reads of lots, and wakes the reads that wait for a lot's next result.

    A listed result is committed and immutable, so it is answered from the leader's local state. A
    read first waits for the log entry in flight for its lot, because reads at stores may have
    returned that entry already (`InFlight`). For an answer without results a majority must have
    confirmed the leader within FRESH_SHARE of the read timeout; otherwise the read is linearizable.

    Attributes
    ----------
    signals
        Set when a batch concerns a lot, by lot.
    """

    __slots__ = ("node", "signals")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.signals: dict[str, Signal] = {}
        node.handle(messages.READ, self.on_read)

    def on_batch(self, leader: Any, batch: Sequence[Wire]) -> None:
        """Wake the reads of the lots that a batch concerns; an empty batch wakes all reads.

        The batch is empty when the leadership changes.
        """
        names: set[str | None] = set(self.signals)
        if batch:
            names &= {lot_in(command) for command in batch}
        for name in names:
            if name is not None:
                self.signals.pop(name).set()

    def on_read(self, body: messages.Wire, origin: str) -> Coroutine:
        """Answer a query when there is a result, the lot is complete, or the wait is over.

        Raises NotLeader if the part is not led here, NotFound if the lot does not exist.
        """
        read = messages.LongPollRead.from_wire(body)
        lot: str = read.query["lot"]
        leader = self.node.find("ownership").leaders.get(read.part)
        deadline = self.node.now() + read.max_wait_seconds
        if leader is not None:
            yield from leader.in_flight.wait(lot)
        while True:
            if leader is None or not leader.is_leader:
                raise NotLeader(part=read.part)
            answer = self._find_answer(leader.state, read.query)
            seconds_left = deadline - self.node.now()
            if answer is not None and (answer["results"] or answer["is_over"]):
                return answer
            if answer is None or seconds_left <= 0:
                break
            yield Wait(self.signals.setdefault(lot, Signal()), seconds_left)
        if answer is not None and self._is_fresh(leader):
            return answer
        state = yield from leader.linearizable_state()
        return QUERIES.find(read.query["ask"])(state, read.query)

    def _find_answer(self, state: dict[str, Any], query: dict[str, Any]) -> dict[str, Any] | None:
        """Return the answer from a given state, or None if the lot does not exist there."""
        try:
            answer: dict[str, Any] = QUERIES.find(query["ask"])(state, query)
        except NotFound:
            return None
        return answer

    def _is_fresh(self, leader: Any) -> bool:
        """Return whether a majority confirmed the leader within FRESH_SHARE of the read timeout."""
        fresh_seconds: float = self.node.bounds.read_timeout * FRESH_SHARE
        return bool(self.node.now() - leader.confirmed_at < fresh_seconds)
