"""Hinted handoff: a spare store keeps accept requests for an unreachable acceptor, for delivery.

Source: DeCandia et al., "Dynamo: Amazon's highly available key-value store", section 4.6.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import cbor2

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import Conflict, Fenced, QuillringError, Refused
from quillring.quorum.acceptor.log_records import HintRecord, HintsHandedRecord
from quillring.quorum.identity import WrongIdentity
from quillring.quorum.messages import HintedEntry, HintRequest

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine, WireMap
    from quillring.quorum.acceptor.acceptor import Acceptors

MAX_HINTS = 10_000
MAX_HINT_BYTES = 16 << 20
HEARTBEATS_BEFORE_HANDOFF = 2
FINAL_ERRORS = (Fenced, WrongIdentity, Conflict)


class HintStore:
    """The spare store's side; hints add durability but never count towards a majority.

    At most MAX_HINTS hints of about MAX_HINT_BYTES are kept. `kept_bytes` caches their size in
    bytes; None while it must be counted again.
    """

    __slots__ = ("node", "acceptors", "kept_bytes")

    def __init__(self, node: Node, acceptors: Acceptors) -> None:
        self.node = node
        self.acceptors = acceptors
        self.kept_bytes: int | None = None
        node.handle("quorum.hint", self.on_hint)

    def on_hint(self, body: WireMap, origin: str) -> Coroutine:
        """Keep a request for an unreachable acceptor, durably; raises Refused above the limits."""
        request = HintRequest.from_wire(body)
        kept_count = sum(len(requests) for requests in self.acceptors.hints.values())
        if kept_count >= MAX_HINTS or self._count_bytes() >= MAX_HINT_BYTES:
            raise Refused(reason="too many hints")
        self.kept_bytes = self._count_bytes() + len(cbor2.dumps(request.request))
        yield from self.acceptors.persist(HintRecord(request.target, request.request))
        return True

    def _count_bytes(self) -> int:
        if self.kept_bytes is None:
            self.kept_bytes = sum(
                len(cbor2.dumps(request))
                for requests in self.acceptors.hints.values()
                for request in requests
            )
        return self.kept_bytes

    def run(self) -> Coroutine:
        """Deliver the hints to each acceptor that is reachable again, then drop them; endless.

        It waits HEARTBEATS_BEFORE_HANDOFF heartbeats, as the leaders of its parts usually bring the
        acceptor up to date by then, and the hints need not be sent.
        """
        back_since: dict[str, float] = {}
        while True:
            yield Sleep(self.node.bounds.heartbeat_interval)
            reaches, now = self.node.find("nifty").reaches, self.node.now()
            back_since = {
                name: back_since.get(name, now) for name in self.acceptors.hints if reaches(name)
            }
            patience = self.node.bounds.heartbeat_interval * HEARTBEATS_BEFORE_HANDOFF
            for name, since in back_since.items():
                if now - since >= patience:
                    yield from self._hand_over(name)

    def _hand_over(self, target: str) -> Coroutine:
        """Deliver the hints that the acceptor still needs; one with a new identity needs none.

        Each reply is the index that the acceptor has applied; hints up to that index are not sent.
        An error that is not final ends the attempt, and all hints are kept.
        """
        requests = self.acceptors.hints.get(target, ())
        applied: dict[tuple[str, str], float] = {}
        for request in requests:
            entry = HintedEntry.from_wire(request)
            log = (entry.part, entry.identity)
            if entry.log_index <= applied.get(log, 0):
                continue
            try:
                applied[log] = yield from self.node.call(target, "quorum.accept", request)
            except WrongIdentity:
                applied[log] = math.inf
            except FINAL_ERRORS:
                continue
            except QuillringError:
                return
        self.node.count("hints_handed", len(requests))
        try:
            yield from self.acceptors.persist(HintsHandedRecord(target, len(requests)))
            self.kept_bytes = None
        except QuillringError as error:
            self.node.log("warning", "hinted handoff to %s: %s", target, error)
