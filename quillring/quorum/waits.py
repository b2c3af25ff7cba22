"""Pauses between attempts, spread by chance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.effects import Sleep

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine


def wait_for_owner(node: Node, seconds: float) -> Coroutine:
    """Coroutine: a pause between two rounds of finding a part's owner."""
    yield Sleep(seconds * (0.5 + node.runtime.random.random()))
