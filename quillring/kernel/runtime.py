"""The interface that a node requires of its runtime; imported for type checking only."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    import random
    from collections.abc import Generator

    from quillring.kernel.types import Address, Coroutine


class Runtime(Protocol):
    """Clock, randomness, network and coroutines of one process.

    Implemented with gevent in production and by the simulator in tests.
    """

    random: random.Random

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def wall_time(self) -> float:
        """Return Unix time in seconds, for timestamps that must be valid after a restart."""

    def secret(self, count: int) -> bytes:
        """Return `count` cryptographically random bytes."""

    def datagram(self, address: Address, data: bytes) -> None:
        """Send a datagram, without a delivery guarantee."""

    def frame(self, address: Address, data: bytes) -> None:
        """Queue a frame on the channel to the address, without a delivery guarantee."""

    def reset(self, address: Address) -> None:
        """Close the connection to the address of a failed member."""

    def spawn(self, coroutine: Coroutine) -> Any:
        """Start a coroutine that runs concurrently; return its task."""

    def drive(self, coroutine: Coroutine) -> Any:
        """Run a coroutine to completion in the caller's task and return its result."""

    def lines(self, coroutine: Coroutine) -> Generator[Any, None, Any]:
        """Run a coroutine in the caller's task; yield its SendToClient items; return its result."""
