"""Pauses with random jitter between attempts, so that nodes do not retry in lockstep."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.effects import Sleep

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

LONGEST_SHARE = 1.5
"""The longest pause, as a share of the seconds that were given."""


def sleep_with_jitter(node: Node, seconds: float) -> Coroutine:
    """Sleep for a random time, uniform between 0.5 and 1.5 times `seconds`."""
    yield Sleep(seconds * (LONGEST_SHARE - 1 + node.runtime.random.random()))
