"""The log entry in flight: proposed by the leader, and not yet known to be chosen.

A majority may have accepted the entry while the leader still waits for their replies, and a
follower read then counts it as chosen (`follower_read`). To be linearizable with such a read, a
read at the leader that begins while the entry is in flight waits for it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.effects import Signal, Wait
from quillring.kernel.errors import NoMajority

if TYPE_CHECKING:
    from collections.abc import Sequence
    from typing import Any

    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine


class InFlight:
    """The entry in flight during one term of a part's leader; at most one, as the window is one."""

    __slots__ = ("node", "part", "batch", "committed_signal")

    def __init__(self, node: Node, part: str) -> None:
        self.node = node
        self.part = part
        self.batch: Sequence[dict[str, Any]] = ()
        self.committed_signal: Signal | None = None

    def begin(self, batch: list[dict[str, Any]]) -> None:
        """Record the start of the proposal of an entry with these commands."""
        self.batch, self.committed_signal = batch, Signal()

    def end(self) -> None:
        """Record that the entry was applied or its proposal failed, and wake the waiting reads."""
        committed_signal, self.batch, self.committed_signal = self.committed_signal, (), None
        if committed_signal is not None:
            committed_signal.set()

    def wait(self, lot: str | None = None) -> Coroutine:
        """Wait until the entry in flight is applied or has failed; return at once if there is none.

        If a lot's key is given, the wait is skipped unless the entry has a command about that lot.
        Raises NoMajority after twice `bounds.call_timeout`.
        """
        is_unrelated = lot is not None and all(c.get("lot") != lot for c in self.batch)
        if self.committed_signal is None or is_unrelated:
            return
        committed_signal = self.committed_signal
        yield Wait(committed_signal, self.node.bounds.call_timeout * 2)
        if not committed_signal.is_set:
            raise NoMajority(part=self.part, reason="an entry is in flight")
