"""Reconcile token reservations with the lots, at the leader of the part that stores them."""

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

HIGH_USE_RATIO = 0.5
"""A forward has high use while more than this ratio of its quota is reserved."""

# Query periods, and the time after which an unknown lot is fenced, as shares of the read timeout.
HIGH_USE_PERIOD_SHARE, NORMAL_PERIOD_SHARE, UNKNOWN_LOT_GRACE_SHARE = 0.4, 0.8, 0.5


class QuotaReconciler:
    """Queries the lots' parts for pending tokens, and releases reserved tokens no longer needed.

    Runs at the leader of the reserving part. Its attributes need not be durable, since a new leader
    queries again. An answer is read from committed state, and the pending tokens of a lot never
    increase, so a delayed answer may release too few tokens but never too many. A reservation
    whose lot is unknown in its part is released only after its ticket has been fenced there.

    Attributes
    ----------
    last_query_at
        When the lots' parts were last queried, by reserving part.
    queries_in_flight
        Pairs (reserving part, lots' part) with a query in flight.
    unknown_since
        When a ticket's lot was first unknown in its part, by (reserving part, ticket).
    """

    __slots__ = ("node", "last_query_at", "queries_in_flight", "unknown_since")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.last_query_at: dict[str, float] = {}
        self.queries_in_flight: set[tuple[str, str]] = set()
        self.unknown_since: dict[tuple[str, int], float] = {}
        node.handle(messages.TOKENS_LEFT, self.on_tokens_left)

    def on_tokens_left(self, body: messages.Wire, origin: str) -> dict[str, Any]:
        """Return the pending tokens of the known lots of a part.

        Raises NotLeader if the part is not led here.
        """
        query = messages.TokensLeft.from_wire(body)
        leader = self.node.find("ownership").leaders.get(query.part)
        if leader is None or not leader.is_leader:
            raise NotLeader(part=query.part)
        return {"left": tokens_left(leader.state, query.lots)}

    def run(self) -> Coroutine:
        """Reconcile the reservations of the parts led here periodically, more often in high use."""
        while True:
            yield Sleep(self.node.bounds.read_timeout * HIGH_USE_PERIOD_SHARE / 4)
            for leader in list(self.node.find("ownership").leaders.values()):
                if leader.has_lease() and self._is_due(leader):
                    self.last_query_at[leader.part] = self.node.now()
                    self._reconcile(leader)

    def _is_due(self, leader: Any) -> bool:
        """Return whether the part has reservations and its query period is over."""
        table = reservation_table(leader.state)
        if not table or not table["lots"]:
            return False
        has_high_use = any(
            reserved["tokens"] > reserved["most"] * HIGH_USE_RATIO
            for reserved in table["forwards"].values()
        )
        period = self.node.bounds.read_timeout * (
            HIGH_USE_PERIOD_SHARE if has_high_use else NORMAL_PERIOD_SHARE
        )
        return self.node.now() - self.last_query_at.get(leader.part, -period) >= period

    def _reconcile(self, leader: Any) -> None:
        """Query each part that has lots with reservations and no query in flight."""
        reserved = reserved_lots(leader.state)
        by_part: dict[str, dict[str, Reservation]] = {}
        for key, reservation in reserved.items():
            by_part.setdefault(reservation["part"], {})[key] = reservation
        self._discard_other_tickets(leader.part, {row["ticket"] for row in reserved.values()})
        for part, reservations in by_part.items():
            if (leader.part, part) not in self.queries_in_flight:
                self.queries_in_flight.add((leader.part, part))
                self.node.spawn(self._release_unneeded_tokens(leader, part, reservations))

    def _discard_other_tickets(self, reserving_part: str, tickets: set[int]) -> None:
        """Discard the entries of a reserving part except those of the given tickets."""
        self.unknown_since = {
            (part, ticket): since
            for (part, ticket), since in self.unknown_since.items()
            if part != reserving_part or ticket in tickets
        }

    def _release_unneeded_tokens(
        self, leader: Any, part: str, reservations: Mapping[str, Reservation]
    ) -> Coroutine:
        """Release the reserved tokens that one part's lots no longer need; log any error."""
        try:
            tokens_by_lot = yield from self._find_tokens_left(leader, part, reservations)
            pending = [
                PendingTokens(key, reservation["ticket"], tokens_by_lot[key])
                for key, reservation in reservations.items()
                if key in tokens_by_lot
                and (tokens_by_lot[key] < reservation["left"] or not tokens_by_lot[key])
            ]
            if pending:
                yield from leader.submit(ReleaseTokens(pending).to_wire())
                self.node.count("raw_reservations_lowered", len(pending))
        except QuillringError as error:
            self.node.log(
                "debug", "reconciling reservations of %s in %s: %s", leader.part, part, error
            )
        finally:
            self.queries_in_flight.discard((leader.part, part))

    def _find_tokens_left(
        self, leader: Any, part: str, reservations: Mapping[str, Reservation]
    ) -> Coroutine:
        """Return {lot: pending tokens}; 0 for a lot whose ticket was fenced before it arrived.

        Lots that have been unknown for too short a time to be fenced are omitted.
        """
        ownership, seconds = self.node.find("ownership"), self.node.bounds.read_timeout
        query = messages.TokensLeft(list(reservations)).to_wire()
        answer = yield from ownership.call_leader(part, messages.TOKENS_LEFT, query, seconds)
        tokens_by_lot = answer["left"]
        tickets_to_fence = self._tickets_to_fence(leader.part, reservations, tokens_by_lot)
        if not tickets_to_fence:
            return tokens_by_lot
        command = FenceTickets(leader.part, max(tickets_to_fence.values()), list(tickets_to_fence))
        fenced = yield from ownership.submit(part, command.to_wire(), seconds)
        released_count = len(tickets_to_fence) - len(fenced["left"])
        self.node.count("raw_reservations_taken_back", released_count)
        return {**tokens_by_lot, **dict.fromkeys(tickets_to_fence, 0), **fenced["left"]}

    def _tickets_to_fence(
        self,
        reserving_part: str,
        reservations: Mapping[str, Reservation],
        tokens_by_lot: Mapping[str, int],
    ) -> dict[str, int]:
        """Return {lot: ticket} of the lots that have been unknown in their part for long enough.

        That is UNKNOWN_LOT_GRACE_SHARE of the read timeout.
        """
        now, grace_seconds = (
            self.node.now(),
            self.node.bounds.read_timeout * UNKNOWN_LOT_GRACE_SHARE,
        )
        tickets_to_fence = {}
        for key, reservation in reservations.items():
            if key in tokens_by_lot:
                continue
            ticket = reservation["ticket"]
            since = self.unknown_since.setdefault((reserving_part, ticket), now)
            if now - since >= grace_seconds:
                tickets_to_fence[key] = ticket
        return tickets_to_fence
