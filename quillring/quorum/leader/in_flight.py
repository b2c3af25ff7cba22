"""The entry that an owner has proposed and does not know to be chosen yet.

Its stores may have accepted it already: a read at a majority of them then counts it as chosen
(`peek`), while the owner still waits for their answers. A read at the owner that begins meanwhile
waits for the entry, so that it shows no less than the read before it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.effects import Signal, Wait
from quillring.kernel.errors import NoMajority

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine


class InFlight:
    """What is in flight in one term of a part's ownership: one entry at most."""

    __slots__ = ("node", "part", "batch", "decided")

    def __init__(self, node: Node, part: str) -> None:
        self.node = node
        self.part = part
        self.batch = ()
        self.decided = None

    def begin(self, batch: list[dict]) -> None:
        """Note that an entry with these commands goes out now."""
        self.batch, self.decided = batch, Signal()

    def end(self) -> None:
        """Note that the entry was applied, or that the owner gives it up and steps down."""
        decided, self.batch, self.decided = self.decided, (), None
        decided.set()

    def wait(self, lot: str | None = None) -> Coroutine:
        """Coroutine: return when what is in flight now has ended; at once when nothing is.

        With a lot's key, only an entry with a command about that lot is waited for. Raises
        NoMajority when it takes longer than two rounds.
        """
        is_of_others = lot is not None and all(c.get("lot") != lot for c in self.batch)
        if self.decided is None or is_of_others:
            return
        decided = self.decided
        yield Wait(decided, self.node.bounds.call_timeout * 2)
        if not decided.is_set:
            raise NoMajority(part=self.part, reason="an entry is in flight")
