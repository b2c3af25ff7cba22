"""What a node needs of the runtime that drives it; imported for type checking only."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    import random
    from collections.abc import Generator

    from quillring.kernel.types import Address, Coroutine


class Runtime(Protocol):
    """Time, chance, network and coroutines of one process: gevent's or a simulator's."""

    random: random.Random

    def now(self) -> float:
        """Return monotonic seconds."""

    def wall_time(self) -> float:
        """Return seconds of the wall clock, for what outlives a process."""

    def secret(self, count: int) -> bytes:
        """Return bytes nobody can guess."""

    def datagram(self, address: Address, data: bytes) -> None:
        """Send a datagram; it may be lost."""

    def frame(self, address: Address, data: bytes) -> None:
        """Queue a frame on the channel to the address; it may be lost."""

    def reset(self, address: Address) -> None:
        """Drop the connection to a lost member."""

    def spawn(self, coroutine: Coroutine) -> Any:
        """Run a coroutine beside the others."""

    def drive(self, coroutine: Coroutine) -> Any:
        """Run a coroutine to its end here and return its value."""

    def lines(self, coroutine: Coroutine) -> Generator[Any, None, Any]:
        """Run a coroutine here; yield each line that it emits; return its value."""
