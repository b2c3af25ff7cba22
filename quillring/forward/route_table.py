"""Which forward a request belongs to: an immutable table made of each layout image."""

from quillring.nifty.graph import score

STREAM, LOT, REPEATABLE = "stream", "lot", "repeatable"


class Forward:
    """One forward of the layout, with what the path of a request asks of it."""

    __slots__ = (
        "name",
        "host",
        "prefix",
        "kind",
        "split",
        "tries",
        "hold_seconds",
        "goal_seconds",
        "urgency",
        "may_resume",
        "pause_seconds",
        "fields",
    )

    def __init__(self, name, fields):
        self.name = name
        self.host = fields["host"].lower()
        self.prefix = fields["prefix"]
        self.kind = fields["kind"]
        self.split = [(service, weight) for service, weight in fields["split"] if weight > 0]
        self.tries = max(1, fields.get("rounds") or 1)
        self.hold_seconds = (fields.get("hold_ms") or 60_000) / 1000
        self.goal_seconds = (fields.get("goal_ms") or 1000) / 1000
        self.urgency = fields.get("urgency", 0)
        self.may_resume = bool(fields.get("resumable"))
        self.pause_seconds = (fields.get("pause_ms") or 300) / 1000
        self.fields = fields

    @property
    def may_repeat(self):
        """True where a request may run again after a replica may have begun it."""
        return self.kind == REPEATABLE or (self.kind == STREAM and self.may_resume)

    def service_for(self, key):
        """Return the service that the weights give to a request of this key."""
        if len(self.split) == 1:
            return self.split[0][0]
        total = sum(weight for _, weight in self.split)
        drawn = int.from_bytes(score(self.name, key)[:7], "big") / (1 << 56) * total
        for service, weight in self.split:
            drawn -= weight
            if drawn < 0:
                return service
        return self.split[-1][0]


class ForwardTable:
    """Forwards by host and longest prefix; made anew, and swapped whole, when the layout moves."""

    __slots__ = ("node", "configuration", "by_host", "by_name")

    def __init__(self, node):
        self.node = node
        self.configuration = None
        self.by_host = {}
        self.by_name = {}

    def _renew(self):
        configuration = self.node.find("layout").configuration
        if configuration is self.configuration:
            return
        forwards = [
            Forward(name, fields)
            for name, fields in (configuration or {}).get("forwards", {}).items()
        ]
        by_host = {}
        for forward in sorted(forwards, key=lambda f: -len(f.prefix)):
            by_host.setdefault(forward.host, []).append(forward)
        self.by_host = {
            host: {forward.prefix: forward for forward in hosted}
            for host, hosted in by_host.items()
        }
        self.by_name = {forward.name: forward for forward in forwards}
        self.configuration = configuration

    def is_empty(self):
        """Tell whether no layout with forwards is known yet."""
        self._renew()
        return not self.by_name

    def find(self, host, target):
        """Return the forward with the longest prefix that begins the target's path, or None."""
        self._renew()
        host = host.lower()
        prefixes = self.by_host.get(host)
        if prefixes is None and ":" in host:
            prefixes = self.by_host.get(host.partition(":")[0])
        if prefixes is None:
            return None
        path = target.partition("?")[0]
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end) + 1
            if not end:
                return None
            if path[:end] in prefixes:
                return prefixes[path[:end]]
            end -= 1
        return None

    def named(self, name):
        """Return the forward of a name, or None."""
        self._renew()
        return self.by_name.get(name)
