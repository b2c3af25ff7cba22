"""Retirement, store side; `quorum.leader.retirement_check` explains why it is safe."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import Conflict
from quillring.quorum.retirement_orders import is_retirement_ordered

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.node import Node
    from quillring.kernel.types import WireMap
    from quillring.quorum.acceptor.acceptor import Acceptors


class RetirementGate:
    """Answers whether this store agrees to join a part, and which hints it has yet to deliver."""

    __slots__ = ("node", "acceptors")

    def __init__(self, node: Node, acceptors: Acceptors) -> None:
        self.node = node
        self.acceptors = acceptors
        node.handle("quorum.join", self.on_join)
        node.handle("quorum.leaving", self.on_leaving)

    def on_join(self, body: Any, origin: str) -> bool:
        """Return True, which agrees to become a member of a part.

        Raises Conflict if this store is retired, or has not received a configuration yet.
        """
        if not self.node.find("layout").index or self._is_retired():
            raise Conflict(store=self.node.me.name, reason="retired or without news of it")
        return True

    def on_leaving(self, body: Any, origin: str) -> WireMap:
        """Return whether this store is retired, and the reachable stores it has hints for.

        It is retired once its own configuration orders that.
        """
        reaches = self.node.find("nifty").reaches
        hints = sorted(name for name in self.acceptors.hints if reaches(name))
        return {"retired": self._is_retired(), "hints": hints}

    def _is_retired(self) -> bool:
        return is_retirement_ordered(self.node, self.node.me.name)
