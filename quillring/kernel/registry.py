"""Registries of plug-ins by name."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable
    from typing import Any, TypeVar

    Plugin = TypeVar("Plugin")


class Registry:
    """A named table of plug-ins; each name is registered once."""

    __slots__ = ("subject", "entries")

    def __init__(self, subject: str) -> None:
        self.subject = subject
        self.entries: dict[Any, Any] = {}

    def entry(self, name: Hashable) -> Callable[[Plugin], Plugin]:
        """Register the decorated object under the name."""

        def enter(plugin: Plugin) -> Plugin:
            if name in self.entries:
                raise KeyError(f"{self.subject} {name} is registered twice")
            self.entries[name] = plugin
            return plugin

        return enter

    def find(self, name: Hashable) -> Any:
        """Return the plug-in of this name, or None."""
        return self.entries.get(name)

    def names(self) -> list[Any]:
        """Return the registered names, sorted."""
        return sorted(self.entries)
