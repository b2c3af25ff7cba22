"""Bringing late members of a part's group in step, one at a time, with a growing pause."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import QuillringError
from quillring.quorum.leader.catch_up import mend_store

if TYPE_CHECKING:
    from quillring.kernel.types import Coroutine
    from quillring.quorum.leader.part_leader import PartLeader


class Rest(NamedTuple):
    """A member is left alone until a time, for so many seconds, after it could not be mended."""

    until: float
    seconds: float


class AntiEntropy:
    """What one term's owner does for the members that miss something."""

    __slots__ = ("owner", "target", "is_busy", "rests")

    def __init__(self, owner: PartLeader) -> None:
        self.owner = owner
        self.target = None
        self.is_busy = False
        self.rests = {}

    def run(self) -> Coroutine:
        """Coroutine: mend while the term lasts."""
        while self.owner.is_leader:
            yield Sleep(self.owner.node.bounds.heartbeat_interval / 2)
            yield from self.repair_followers()

    def repair_followers(self) -> Coroutine:
        """Coroutine: give the members in reach what they miss; nothing while that is under way."""
        if self.is_busy:
            return
        self.is_busy = True
        try:
            yield from self._mend_late()
        finally:
            self.is_busy, self.target = False, None

    def _mend_late(self) -> Coroutine:
        owner, index = self.owner, self.owner.index
        applied = yield from owner.applied_index_by_store()
        for call in owner.calls("install"):
            name = call[0]
            is_late = applied.get(name, index) < index
            if not (is_late and owner.is_leader) or self._rests(name):
                continue
            self.target = name
            try:
                yield from mend_store(owner, applied[name], call)
                self.rests.pop(name, None)
            except QuillringError as error:
                self._rest(name, error)

    def _rests(self, name: str):
        rest = self.rests.get(name)
        return rest is not None and self.owner.node.now() < rest.until

    def _rest(self, name: str, error: QuillringError):
        node, former = self.owner.node, self.rests.get(name)
        seconds = node.bounds.heartbeat_interval / 2 if former is None else former.seconds * 2
        seconds = min(seconds, node.bounds.propagation * 2)
        self.rests[name] = Rest(node.now() + seconds, seconds)
        node.log("warning", "%s: mending %s: %s", self.owner.part, name, error)
