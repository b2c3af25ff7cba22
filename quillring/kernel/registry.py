"""Registry of plug-ins by name."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable
    from typing import Any, TypeVar

    Plugin = TypeVar("Plugin")


class Registry:
    """A table of plug-ins by name; `subject` is what its error messages call an entry.

    A name can be registered only once.
    """

    __slots__ = ("subject", "entries")

    def __init__(self, subject: str) -> None:
        self.subject = subject
        self.entries: dict[Any, Any] = {}

    def entry(self, name: Hashable) -> Callable[[Plugin], Plugin]:
        """Return a decorator that registers an object under the name.

        The decorator raises KeyError if the name is already registered.
        """

        def register(plugin: Plugin) -> Plugin:
            if name in self.entries:
                raise KeyError(f"{self.subject} {name} is registered twice")
            self.entries[name] = plugin
            return plugin

        return register

    def find(self, name: Hashable) -> Any:
        """Return the plug-in registered under the name, or None."""
        return self.entries.get(name)

    def names(self) -> list[Any]:
        """Return the registered names in sorted order."""
        return sorted(self.entries)
