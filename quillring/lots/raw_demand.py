"""How the parts' owners share the slots that lots may take: by how many items wait in each part."""

from quillring.kernel.effects import Sleep

TELL_PERIOD, HEARD_FOR = 0.4, 1.5


class Portion:
    """One part's portion of what all parts may have running of a service."""

    __slots__ = ("start", "end", "total")

    def __init__(self, start, end, total):
        self.start, self.end, self.total = start, end, total

    @property
    def ratio(self):
        """The portion as a ratio, above 0 and at most 1."""
        return (self.end - self.start) / self.total if self.end > self.start else 1.0

    def room(self, slots, phase):
        """Return how many of a replica's slots are this part's.

        The portions of all parts add up to the slots; `phase` (0 to 1, one for each replica) lets
        another part have the odd slot at another replica.
        """
        if self.end <= self.start:
            return slots
        first, last = slots * self.start / self.total, slots * self.end / self.total
        return int(last + phase) - int(first + phase)


class RawDemand:
    """What the owners of all parts have to run: {part: {service: items}}, told between cores.

    Each core tells what it owns when that begins or ends, and every 0.4 of the reading bound in
    between; what was not told again for 1.5 of it counts no more. Owners that differ in what they
    heard start too much or too little for a moment: a full replica says so, and nothing is lost.
    """

    __slots__ = ("node", "own", "heard", "told_parts")

    def __init__(self, node):
        self.node = node
        self.own = {}
        self.heard = {}
        self.told_parts = frozenset()
        node.handle("raw.demand", self.on_demand)

    def on_demand(self, body, origin):
        """Take what another core has to run."""
        until = self.node.now() + self.node.bounds.reading * HEARD_FOR
        self.heard = {part: row for part, row in self.heard.items() if row[0] != origin}
        for part, items_by_service in body["parts"].items():
            self.heard[part] = (origin, until, items_by_service)

    def note(self, part, ledger):
        """Note what a ledger of an owned part has left; tell the others when it begins or ends."""
        items_by_service, forwards = {}, self.node.find("forwards")
        for lot in ledger.lots.values() if ledger is not None else ():
            forward = forwards.named(lot.forward)
            split = forward.split if forward is not None else []
            total = sum(weight for _, weight in split)
            for service, weight in split:
                count = len(lot.items) * weight / total
                items_by_service[service] = items_by_service.get(service, 0) + count
        self.own = {name: items for name, items in self.own.items() if name != part}
        if items_by_service:
            self.own[part] = items_by_service
        if self.told_parts != frozenset(self.own):
            self.tell()

    def tell(self):
        """Tell the other cores what waits here."""
        self.told_parts = frozenset(self.own)
        ownership, nifty = self.node.find("ownership"), self.node.find("nifty")
        for name in ownership.cores():
            if name != self.node.me.name and nifty.reaches(name):
                self.node.cast(name, "raw.demand", {"parts": self.own})

    def run(self):
        """Script: tell again while anything waits."""
        while True:
            yield Sleep(self.node.bounds.reading * TELL_PERIOD)
            if self.own:
                self.tell()

    def portion(self, part, service):
        """Return a part's portion of a service; all of it where no other part has items for it."""
        now = self.node.now()
        items = {
            name: items_by_service.get(service, 0)
            for name, (_, until, items_by_service) in self.heard.items()
            if until > now and name not in self.own
        }
        items |= {name: by_service.get(service, 0) for name, by_service in self.own.items()}
        start = sum(items[name] for name in sorted(items) if name < part)
        return Portion(start, start + items.get(part, 0), sum(items.values()))
