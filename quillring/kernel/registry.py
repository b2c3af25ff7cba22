"""Plug-ins are found by their entry in a registry."""


class Registry:
    """A named table of plug-ins; an entry is made once and looked up by name."""

    __slots__ = ("subject", "entries")

    def __init__(self, subject):
        self.subject = subject
        self.entries = {}

    def entry(self, name):
        """Register the decorated object under the name."""

        def enter(plugin):
            if name in self.entries:
                raise KeyError(f"{self.subject} {name} is registered twice")
            self.entries[name] = plugin
            return plugin

        return enter

    def find(self, name):
        """Return the plug-in of this name, or None."""
        return self.entries.get(name)

    def names(self):
        """Return the registered names in order."""
        return sorted(self.entries)
