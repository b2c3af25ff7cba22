"""Names of types that many packages use."""

from collections.abc import Generator
from typing import Any

Address = tuple[str, int]
"""Host and port."""

Coroutine = Generator[Any, Any, Any]
"""A coroutine: it yields effects, is sent their outcomes, and returns its result."""
