"""The commands that wait to be replicated, and which of them go into one entry of the log."""

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
    """A command and the signal that its answer, or its error, sets."""

    command: dict[str, Any]
    answer_signal: Signal


class CommandQueue:
    """The commands submitted to one term of a part's leadership, in the order of their entries."""

    __slots__ = ("part", "pending", "arrival_signal")

    def __init__(self, part: str) -> None:
        self.part = part
        self.pending: list[PendingCommand] = []
        self.arrival_signal = Signal()

    def append(self, command: dict[str, Any]) -> PendingCommand:
        """Put a command last."""
        pending = PendingCommand(command, Signal())
        self.pending.append(pending)
        self.arrival_signal.set()
        return pending

    def put_first(self, commands: list[dict[str, Any]]) -> list[PendingCommand]:
        """Put commands before all that wait."""
        pending = [PendingCommand(command, Signal()) for command in commands]
        self.pending[:0] = pending
        self.arrival_signal.set()
        return pending

    def next_arrival(self, seconds: float) -> Wait:
        """Return the effect that waits so long for the next command."""
        self.arrival_signal = Signal()
        return Wait(self.arrival_signal, seconds)

    def take_batch(self) -> list[PendingCommand]:
        """Take the commands of the next entry out of the queue."""
        batch, self.pending = split_batch(self.pending)
        return batch

    def reject_all(self, reason: str) -> None:
        """End all that waits with NotLeader, and whoever waits for the next command."""
        rejected, self.pending = self.pending, []
        for pending in rejected:
            pending.answer_signal.set(NotLeader(part=self.part, reason=reason))
        self.arrival_signal.set()

    def answers_of(self, pending: list[PendingCommand], seconds: float) -> Coroutine:
        """Wait for the last of some commands of one entry; return their answers.

        Raises the error of the first that failed, or NoMajority when none came in time.
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

    An entry holds at most `ENTRY_COMMANDS` commands and `ENTRY_BYTES` encoded, but one at least.
    """
    count, encoded_bytes = 0, 0
    for pending in queue[:ENTRY_COMMANDS]:
        encoded_bytes += len(cbor2.dumps(pending.command))
        if count and encoded_bytes > ENTRY_BYTES:
            break
        count += 1
    return queue[:count], queue[count:]
