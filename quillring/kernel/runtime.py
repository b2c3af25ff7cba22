"""The protocol of a runtime as a node uses it; imported for type checking only."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    import random
    from collections.abc import Generator

    from quillring.kernel.types import Address, Coroutine


class Runtime(Protocol):
    """Clock, randomness, network and coroutines of one process: by gevent or a simulator."""

    random: random.Random

    def now(self) -> float:
        """Return monotonic seconds."""

    def wall_time(self) -> float:
        """Return the seconds of the wall clock, for times that outlive the process."""

    def secret(self, count: int) -> bytes:
        """Return `count` cryptographically random bytes."""

    def datagram(self, address: Address, data: bytes) -> None:
        """Send a datagram; it may be lost."""

    def frame(self, address: Address, data: bytes) -> None:
        """Queue a frame on the channel to the address; it may be lost."""

    def reset(self, address: Address) -> None:
        """Close the connection to a failed member."""

    def spawn(self, coroutine: Coroutine) -> Any:
        """Run a coroutine concurrently."""

    def drive(self, coroutine: Coroutine) -> Any:
        """Run a coroutine to its end in the caller and return its value."""

    def lines(self, coroutine: Coroutine) -> Generator[Any, None, Any]:
        """Run a coroutine in the caller; yield each item it emits; return its value."""
