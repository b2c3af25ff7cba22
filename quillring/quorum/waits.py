"""Pauses between attempts, spread by chance, and the answers that commands wait for."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.kernel.effects import Signal, Sleep
from quillring.kernel.errors import NoMajority, QuillringError

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine


def wait_for_owner(node: Node, seconds: float) -> Coroutine:
    """Coroutine: a pause between two rounds of finding a part's owner."""
    yield Sleep(seconds * (0.5 + node.runtime.random.random()))


def answer_of(signal: Signal, part: str) -> Any:
    """Return the answer a command got; raise its error, or NoMajority when none came in time."""
    if not signal.is_set:
        raise NoMajority(part=part)
    if isinstance(signal.value, QuillringError):
        raise signal.value
    return signal.value
