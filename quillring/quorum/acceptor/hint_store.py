"""Hinted handoff: a spare store keeps what a missing acceptor should have had, and hands it over.

Source: DeCandia et al., "Dynamo: Amazon's highly available key-value store", section 4.6.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import cbor2

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import Conflict, Fenced, QuillringError, Refused
from quillring.quorum.identity import WrongIdentity

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine
    from quillring.quorum.acceptor.acceptor import Acceptors

KEPT_HINTS = 10_000
KEPT_BYTES = 16 << 20
OWNERS_FIRST = 2
FINAL = (Fenced, WrongIdentity, Conflict)


class HintStore:
    """The spare's side; hints add durability, they are no votes."""

    __slots__ = ("node", "acceptors", "kept_bytes")

    def __init__(self, node: Node, acceptors: Acceptors) -> None:
        self.node = node
        self.acceptors = acceptors
        self.kept_bytes = None
        node.handle("quorum.hint", self.on_hint)

    def on_hint(self, body: dict, origin: str) -> Coroutine:
        """Keep a record for a missing acceptor, durably."""
        kept = sum(len(records) for records in self.acceptors.hints.values())
        if kept >= KEPT_HINTS or self._count_bytes() >= KEPT_BYTES:
            raise Refused(reason="too many hints")
        self.kept_bytes += len(cbor2.dumps(body["record"]))
        yield from self.acceptors.keep(["hint", body["for"], body["record"]])
        return True

    def _count_bytes(self):
        if self.kept_bytes is None:
            hints = self.acceptors.hints.values()
            self.kept_bytes = sum(len(cbor2.dumps(record)) for kept in hints for record in kept)
        return self.kept_bytes

    def run(self) -> Coroutine:
        """Coroutine: hand hints over to each acceptor that is back, then drop them.

        Its parts' owners come first: most often they bring it in step, and no hint is needed.
        """
        back_since = {}
        while True:
            yield Sleep(self.node.bounds.heartbeat_interval)
            reaches, now = self.node.find("nifty").reaches, self.node.now()
            back_since = {
                name: back_since.get(name, now) for name in self.acceptors.hints if reaches(name)
            }
            for name, since in back_since.items():
                if now - since >= self.node.bounds.heartbeat_interval * OWNERS_FIRST:
                    yield from self._hand_over(name)

    def _hand_over(self, name: str) -> Coroutine:
        """Hand over what the acceptor still needs; a new member under its name needs none.

        An answer tells what it has applied by now, from its owner or other stores: all up to that
        is not sent.
        """
        records, applied = self.acceptors.hints.get(name, ()), {}
        for record in records:
            log = (record["part"], record["identity"])
            if record["index"] <= applied.get(log, 0):
                continue
            try:
                applied[log] = yield from self.node.call(name, "quorum.accept", record)
            except WrongIdentity:
                applied[log] = math.inf
            except FINAL:
                continue
            except QuillringError:
                return
        self.node.count("hints_handed", len(records))
        try:
            yield from self.acceptors.keep(["handed", name, len(records)])
            self.kept_bytes = None
        except QuillringError as error:
            self.node.log("warning", "hints: %s", error)
