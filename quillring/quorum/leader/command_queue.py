"""The queue of commands to be replicated, and the batching of commands into log entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import cbor2

from quillring.kernel.effects import Signal, Wait
from quillring.kernel.errors import NoMajority, NotLeader, QuillringError
from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.types import Coroutine

ENTRY_COMMANDS = 64
ENTRY_BYTES = 256 << 10


class PendingCommand(NamedTuple):
    """A command, and the signal that is set to its answer or its error."""

    command: dict[str, Any]
    answer_signal: Signal


class CommandQueue:
    """The commands submitted to one term of a part's leader, in the order they will commit in."""

    __slots__ = ("part", "pending", "arrival_signal")

    def __init__(self, part: str) -> None:
        self.part = part
        self.pending: list[PendingCommand] = []
        self.arrival_signal = Signal()

    def append(self, command: dict[str, Any]) -> PendingCommand:
        """Append a command to the queue."""
        pending = PendingCommand(command, Signal())
        self.pending.append(pending)
        self.arrival_signal.set()
        return pending

    def put_first(self, commands: list[dict[str, Any]]) -> list[PendingCommand]:
        """Insert commands before all that are pending."""
        pending = [PendingCommand(command, Signal()) for command in commands]
        self.pending[:0] = pending
        self.arrival_signal.set()
        return pending

    def next_arrival(self, seconds: float) -> Wait:
        """Return an effect that waits for the next command, for `seconds` at most."""
        self.arrival_signal = Signal()
        return Wait(self.arrival_signal, seconds)

    def take_batch(self) -> list[PendingCommand]:
        """Remove and return the commands of the next entry."""
        batch, self.pending = split_batch(self.pending)
        return batch

    def reject_all(self, reason: str) -> None:
        """Fail all pending commands with NotLeader, and wake the wait for the next command."""
        rejected, self.pending = self.pending, []
        for pending in rejected:
            pending.answer_signal.set(NotLeader(part=self.part, reason=reason))
        self.arrival_signal.set()

    def answers_of(self, pending: list[PendingCommand], seconds: float) -> Coroutine:
        """Wait for the answers to commands of one entry, and return them.

        Raises the error of the first that failed, or NoMajority when none came within `seconds`.
        """
        yield Wait(pending[-1].answer_signal, seconds)
        return [self._answer_of(each.answer_signal) for each in pending]

    def _answer_of(self, answer_signal: Signal) -> Any:
        if not answer_signal.is_set:
            raise NoMajority(part=self.part)
        if isinstance(answer_signal.value, QuillringError):
            raise answer_signal.value
        return answer_signal.value


def split_batch(
    queue: list[PendingCommand],
) -> tuple[list[PendingCommand], list[PendingCommand]]:
    """Return (the commands of the next entry, the rest).

    An entry has at most ENTRY_COMMANDS commands of at most ENTRY_BYTES encoded, but at least one.
    """
    count, encoded_bytes = 0, 0
    for pending in queue[:ENTRY_COMMANDS]:
        encoded_bytes += len(cbor2.dumps(pending.command))
        if count and encoded_bytes > ENTRY_BYTES:
            break
        count += 1
    return queue[:count], queue[count:]
