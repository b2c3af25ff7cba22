"""Hinted handoff: a spare store keeps what a missing acceptor should have had, and hands it over.

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
    """The spare's side; hints add durability, they are no votes.

    `kept_bytes` is None while it has to be counted anew.
    """

    __slots__ = ("node", "acceptors", "kept_bytes")

    def __init__(self, node: Node, acceptors: Acceptors) -> None:
        self.node = node
        self.acceptors = acceptors
        self.kept_bytes: int | None = None
        node.handle("quorum.hint", self.on_hint)

    def on_hint(self, body: WireMap, origin: str) -> Coroutine:
        """Keep a request for a missing acceptor, durably; Refused when there are too many."""
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
        """Hand hints over to each acceptor that is back, then drop them.

        Its parts' leaders come first: most often they bring it up to date, and no hint is needed.
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
        """Hand over what the acceptor still needs; a new member under its name needs none.

        An answer tells what it has applied by now, from its leader or other stores: all up to that
        is not sent.
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
