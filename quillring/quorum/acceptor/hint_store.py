"""Hinted handoff, store side: accept requests are stored for an unreachable acceptor.

The spare store delivers them when the acceptor is reachable again.


Source: DeCandia et al., "Dynamo: Amazon's highly available key-value store", section 4.6.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import cbor2

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import Conflict, Fenced, QuillringError, Refused
from quillring.quorum.acceptor.log_records import HintRecord, HintsDeliveredRecord
from quillring.quorum.identity import WrongIdentity
from quillring.quorum.messages import HintedEntry, HintRequest

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine, WireMap
    from quillring.quorum.acceptor.acceptor import Acceptors

MAX_HINTS = 10_000
MAX_HINT_BYTES = 16 << 20
HANDOFF_DELAY_HEARTBEATS = 2
PERMANENT_ERRORS = (Fenced, WrongIdentity, Conflict)


class HintStore:
    """Stores and delivers hints; they add durability but never count towards a majority.

    At most MAX_HINTS hints, of about MAX_HINT_BYTES in total, are stored. `stored_bytes` caches
    their total size in bytes; it is None when the size has to be computed again.
    """

    __slots__ = ("node", "acceptors", "stored_bytes")

    def __init__(self, node: Node, acceptors: Acceptors) -> None:
        self.node = node
        self.acceptors = acceptors
        self.stored_bytes: int | None = None
        node.handle("quorum.hint", self.on_hint)

    def on_hint(self, body: WireMap, origin: str) -> Coroutine:
        """Store a request for an unreachable acceptor durably; raises Refused at the limits."""
        request = HintRequest.from_wire(body)
        stored_count = sum(len(requests) for requests in self.acceptors.hints.values())
        if stored_count >= MAX_HINTS or self._count_bytes() >= MAX_HINT_BYTES:
            raise Refused(reason="too many hints")
        self.stored_bytes = self._count_bytes() + len(cbor2.dumps(request.request))
        yield from self.acceptors.persist(HintRecord(request.target, request.request))
        return True

    def _count_bytes(self) -> int:
        """Return the total size of the stored hints in bytes, from the cache if it is valid."""
        if self.stored_bytes is None:
            self.stored_bytes = sum(
                len(cbor2.dumps(request))
                for requests in self.acceptors.hints.values()
                for request in requests
            )
        return self.stored_bytes

    def run(self) -> Coroutine:
        """Deliver the hints to each acceptor that is reachable again, then drop them; endless.

        Delivery starts HANDOFF_DELAY_HEARTBEATS heartbeat intervals after the acceptor becomes
        reachable. By then the leaders of its parts have usually brought it up to date, so that no
        hints need to be sent.
        """
        reachable_since: dict[str, float] = {}
        while True:
            yield Sleep(self.node.bounds.heartbeat_interval)
            reaches, now = self.node.find("nifty").reaches, self.node.now()
            reachable_since = {
                name: reachable_since.get(name, now)
                for name in self.acceptors.hints
                if reaches(name)
            }
            handoff_delay_seconds = self.node.bounds.heartbeat_interval * HANDOFF_DELAY_HEARTBEATS
            for name, since in reachable_since.items():
                if now - since >= handoff_delay_seconds:
                    yield from self._hand_over(name)

    def _hand_over(self, target: str) -> Coroutine:
        """Deliver the hints that the acceptor still needs, then drop all of its hints.

        Each reply is the acceptor's applied index, and hints up to that index are not sent. After
        WrongIdentity no more hints are sent for that part and identity, since the acceptor has a
        new one. An error other than PERMANENT_ERRORS ends the attempt; all hints then stay stored.
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
            except PERMANENT_ERRORS:
                continue
            except QuillringError:
                return
        self.node.count("hints_handed", len(requests))
        try:
            yield from self.acceptors.persist(HintsDeliveredRecord(target, len(requests)))
            self.stored_bytes = None
        except QuillringError as error:
            self.node.log(
                "warning", "dropping the hints delivered to store %s failed: %s", target, error
            )
