"""Pauses between attempts, spread by chance so that many nodes do not try in step."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.effects import Sleep

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

LONGEST_SHARE = 1.5
"""The longest pause, as a share of the seconds that were given."""


def sleep_with_jitter(node: Node, seconds: float) -> Coroutine:
    """Sleep between half and one and a half times so many seconds."""
    yield Sleep(seconds * (LONGEST_SHARE - 1 + node.runtime.random.random()))
