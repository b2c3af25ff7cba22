"""The leader's copy of a part's replicated state machine, with a cache of recent entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.quorum.commands import apply_batch
from quillring.quorum.log_cache import LogCache

if TYPE_CHECKING:
    from typing import Any

    from quillring.quorum.messages import Batch
    from quillring.quorum.snapshot_chunks import PartState
    from quillring.quorum.values import WireGroup


class StateMachine:
    """A part's state after the entry at `last_applied`, and a cache of the most recent entries.

    The state after an index is the same at every node, so a later term may start from a copy.
    """

    __slots__ = ("last_applied", "state", "log_cache")

    def __init__(
        self,
        last_applied: int = 0,
        state: PartState | None = None,
        log_cache: LogCache | None = None,
    ) -> None:
        self.last_applied = last_applied
        self.state = state
        self.log_cache = LogCache() if log_cache is None else log_cache

    def copy(self) -> StateMachine:
        """Return a copy that shares the immutable state and has its own log cache."""
        return StateMachine(self.last_applied, self.state, self.log_cache.copy())

    def group(self) -> WireGroup:
        """Return the group in the state, in its wire form."""
        group: WireGroup = self.known_state()["group"]
        return group

    def known_state(self) -> PartState:
        """Return the state; raises AssertionError before the first election, when there is none."""
        assert self.state is not None
        return self.state

    def apply(self, index: int, batch: Batch) -> list[Any]:
        """Apply the entry at `index`, which must follow `last_applied`; return its answers."""
        self.last_applied = index
        self.log_cache.add(index, batch)
        self.state, answers = apply_batch(self.known_state(), batch)
        return answers

    def install(self, index: int, state: PartState) -> None:
        """Replace the state by the one after an index; the log cache is left unchanged."""
        self.last_applied, self.state = index, state
