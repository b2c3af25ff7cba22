"""Pauses with random jitter between attempts, so that nodes do not retry in lockstep."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.effects import Sleep

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

MAX_PAUSE_FACTOR = 1.5
"""The longest possible pause, as a multiple of the mean pause."""


def sleep_with_jitter(node: Node, seconds: float) -> Coroutine:
    """Sleep for a time drawn uniformly between 0.5 and 1.5 times `seconds`."""
    yield Sleep(seconds * (MAX_PAUSE_FACTOR - 1 + node.runtime.random.random()))
