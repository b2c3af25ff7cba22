"""Reconcile reserved tokens with the lots, at the leader of the reservations' part."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import NotLeader, QuillringError
from quillring.lots.http_requests import messages
from quillring.lots.http_requests.commands import FenceTickets, PendingTokens, ReleaseTokens
from quillring.lots.http_requests.token_reservations import (
    Reservation,
    reservation_table,
    reserved_lots,
    tokens_left,
)

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

CROWDED_SHARE = 0.5
"""A forward is crowded while more than this share of its quota is reserved."""

# Shares of the read timeout.
CROWDED_PERIOD, CALM_PERIOD, UNKNOWN_PATIENCE = 0.4, 0.8, 0.5


class QuotaReconciler:
    """Asks the lots' parts for their pending tokens, and releases the rest of the reservations.

    The leader of the reservations asks, so its state here is soft: a new leader asks again. An
    answer is read from committed state, and the tokens of a lot only ever fall, so a delayed
    answer releases too little and never too much. A reservation whose lot is unknown in its part
    is released only after its ticket was fenced there.

    Attributes
    ----------
    asked_at
        When the lots' parts were last asked, by reserving part.
    parts_being_asked
        Pairs (reserving part, lots' part) with a call in flight.
    unknown_since
        When a ticket's lot was first found unknown in its part, by (reserving part, ticket).
    """

    __slots__ = ("node", "asked_at", "parts_being_asked", "unknown_since")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.asked_at: dict[str, float] = {}
        self.parts_being_asked: set[tuple[str, str]] = set()
        self.unknown_since: dict[tuple[str, int], float] = {}
        node.handle(messages.TOKENS_LEFT, self.on_tokens_left)

    def on_tokens_left(self, body: messages.Wire, origin: str) -> dict[str, Any]:
        """Return the pending tokens of the known lots of a part led here; raise NotLeader."""
        question = messages.TokensLeft.from_wire(body)
        leader = self.node.find("ownership").leaders.get(question.part)
        if leader is None or not leader.is_leader:
            raise NotLeader(part=question.part)
        return {"left": tokens_left(leader.state, question.lots)}

    def run(self) -> Coroutine:
        """Reconcile the reservations of the parts led here, each at its period."""
        while True:
            yield Sleep(self.node.bounds.read_timeout * CROWDED_PERIOD / 4)
            for leader in list(self.node.find("ownership").leaders.values()):
                if leader.has_lease() and self._is_due(leader):
                    self.asked_at[leader.part] = self.node.now()
                    self._reconcile(leader)

    def _is_due(self, leader: Any) -> bool:
        table = reservation_table(leader.state)
        if not table or not table["lots"]:
            return False
        is_crowded = any(
            reserved["tokens"] > reserved["most"] * CROWDED_SHARE
            for reserved in table["forwards"].values()
        )
        period = self.node.bounds.read_timeout * (CROWDED_PERIOD if is_crowded else CALM_PERIOD)
        return self.node.now() - self.asked_at.get(leader.part, -period) >= period

    def _reconcile(self, leader: Any) -> None:
        """Reconcile with every part that has reserved lots and no call in flight."""
        reserved = reserved_lots(leader.state)
        by_part: dict[str, dict[str, Reservation]] = {}
        for key, reservation in reserved.items():
            by_part.setdefault(reservation["part"], {})[key] = reservation
        self._forget_other_tickets(leader.part, {row["ticket"] for row in reserved.values()})
        for part, reservations in by_part.items():
            if (leader.part, part) not in self.parts_being_asked:
                self.parts_being_asked.add((leader.part, part))
                self.node.spawn(self._release_done(leader, part, reservations))

    def _forget_other_tickets(self, reserving_part: str, tickets: set[int]) -> None:
        self.unknown_since = {
            (part, ticket): since
            for (part, ticket), since in self.unknown_since.items()
            if part != reserving_part or ticket in tickets
        }

    def _release_done(
        self, leader: Any, part: str, reservations: Mapping[str, Reservation]
    ) -> Coroutine:
        """Release the reserved tokens that one part's lots no longer need."""
        try:
            left = yield from self._find_tokens_left(leader, part, reservations)
            pending = [
                PendingTokens(key, reservation["ticket"], left[key])
                for key, reservation in reservations.items()
                if key in left and (left[key] < reservation["left"] or not left[key])
            ]
            if pending:
                yield from leader.submit(ReleaseTokens(pending).to_wire())
                self.node.count("raw_reservations_lowered", len(pending))
        except QuillringError as error:
            self.node.log("debug", "reservations of %s in %s: %s", leader.part, part, error)
        finally:
            self.parts_being_asked.discard((leader.part, part))

    def _find_tokens_left(
        self, leader: Any, part: str, reservations: Mapping[str, Reservation]
    ) -> Coroutine:
        """Return {lot: tokens left}; 0 for a lot whose ticket was fenced before it arrived."""
        ownership, seconds = self.node.find("ownership"), self.node.bounds.read_timeout
        question = messages.TokensLeft(list(reservations)).to_wire()
        answer = yield from ownership.call_leader(part, messages.TOKENS_LEFT, question, seconds)
        left = answer["left"]
        late_tickets = self._late_tickets(leader.part, reservations, left)
        if not late_tickets:
            return left
        command = FenceTickets(leader.part, max(late_tickets.values()), list(late_tickets))
        fenced = yield from ownership.submit(part, command.to_wire(), seconds)
        taken_back = len(late_tickets) - len(fenced["left"])
        self.node.count("raw_reservations_taken_back", taken_back)
        return {**left, **dict.fromkeys(late_tickets, 0), **fenced["left"]}

    def _late_tickets(
        self,
        reserving_part: str,
        reservations: Mapping[str, Reservation],
        left: Mapping[str, int],
    ) -> dict[str, int]:
        """Return {lot: ticket} of lots unknown in their part for UNKNOWN_PATIENCE read timeouts."""
        now, patience = self.node.now(), self.node.bounds.read_timeout * UNKNOWN_PATIENCE
        late_tickets = {}
        for key, reservation in reservations.items():
            if key in left:
                continue
            ticket = reservation["ticket"]
            since = self.unknown_since.setdefault((reserving_part, ticket), now)
            if now - since >= patience:
                late_tickets[key] = ticket
        return late_tickets
