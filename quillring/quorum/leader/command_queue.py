"""The queue of commands waiting to be replicated, and their batching into log entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import cbor2

from quillring.kernel.effects import Signal, Wait
from quillring.kernel.errors import NoMajority, NotLeader, QuillringError
from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.types import Coroutine

MAX_ENTRY_COMMANDS = 64
MAX_ENTRY_BYTES = 256 << 10


class PendingCommand(NamedTuple):
    """A queued command, and the signal that is set to its answer or its error."""

    command: dict[str, Any]
    answer_signal: Signal


class CommandQueue:
    """The commands submitted during one term of a part's leader, in commit order."""

    __slots__ = ("part", "pending", "arrival_signal")

    def __init__(self, part: str) -> None:
        self.part = part
        self.pending: list[PendingCommand] = []
        self.arrival_signal = Signal()

    def append(self, command: dict[str, Any]) -> PendingCommand:
        """Append a command to the queue; return it with its answer signal."""
        pending = PendingCommand(command, Signal())
        self.pending.append(pending)
        self.arrival_signal.set()
        return pending

    def prepend(self, commands: list[dict[str, Any]]) -> list[PendingCommand]:
        """Insert commands, in their order, before all pending ones; return them."""
        pending = [PendingCommand(command, Signal()) for command in commands]
        self.pending[:0] = pending
        self.arrival_signal.set()
        return pending

    def next_arrival(self, seconds: float) -> Wait:
        """Return an effect that waits up to `seconds` for the next command."""
        self.arrival_signal = Signal()
        return Wait(self.arrival_signal, seconds)

    def take_batch(self) -> list[PendingCommand]:
        """Remove and return the commands of the next entry."""
        batch, self.pending = split_batch(self.pending)
        return batch

    def reject_all(self, reason: str) -> None:
        """Fail all pending commands with NotLeader, and wake the coroutine waiting for commands."""
        rejected, self.pending = self.pending, []
        for pending in rejected:
            pending.answer_signal.set(NotLeader(part=self.part, reason=reason))
        self.arrival_signal.set()

    def answers_of(self, pending: list[PendingCommand], seconds: float) -> Coroutine:
        """Wait for the answers to the commands of one entry, and return them.

        Raises the error of the first command that failed, or NoMajority if the entry is not
        answered within `seconds`.
        """
        yield Wait(pending[-1].answer_signal, seconds)
        return [self._answer_or_raise(each.answer_signal) for each in pending]

    def _answer_or_raise(self, answer_signal: Signal) -> Any:
        """Return a command's answer; raise its error, or NoMajority if there is none yet."""
        if not answer_signal.is_set:
            raise NoMajority(part=self.part)
        if isinstance(answer_signal.value, QuillringError):
            raise answer_signal.value
        return answer_signal.value


def split_batch(
    queue: list[PendingCommand],
) -> tuple[list[PendingCommand], list[PendingCommand]]:
    """Return (the commands of the next entry, the remaining commands).

    An entry has up to MAX_ENTRY_COMMANDS commands, whose encodings take up to MAX_ENTRY_BYTES in
    total. If the first command alone exceeds that size, it forms an entry by itself.
    """
    count, encoded_bytes = 0, 0
    for pending in queue[:MAX_ENTRY_COMMANDS]:
        encoded_bytes += len(cbor2.dumps(pending.command))
        if count and encoded_bytes > MAX_ENTRY_BYTES:
            break
        count += 1
    return queue[:count], queue[count:]
