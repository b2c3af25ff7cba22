"""The layout on a node: an immutable image, swapped whole, that never goes back."""

from quillring.kernel.errors import NotFound
from quillring.quorum.parts import CONFIG


class ConfigurationSnapshot:
    """The newest layout that this node heard of."""

    __slots__ = ("node", "index", "version", "configuration", "group", "taken_at")

    def __init__(self, node):
        self.node = node
        self.index = 0
        self.version = 0
        self.configuration = None
        self.group = None
        self.taken_at = None
        gossip = node.find("gossip")
        gossip.subscribe("layout", lambda key, news: self._swap(news))
        node.handle("layout.news", self.on_news)
        if node.me.role == "core":
            node.find("ownership").leader_listeners.append(self._publish)

    def _publish(self, owner, batch):
        if owner.part == CONFIG and owner.is_leader:
            self.take(owner.index, owner.state)
            if batch:
                self._cast_all()

    def _cast_all(self):
        """Tell every member in reach at once, before the change is acknowledged."""
        version, news = self.node.find("gossip").table["layout"]
        for name in sorted(self.node.find("nifty").graph.routes):
            self.node.send_oneway(name, "layout.news", [list(version), news])

    def on_news(self, body, origin):
        """Take what the owner told everyone; it needs no passing on."""
        version, news = body
        gossip = self.node.find("gossip")
        gossip.publish("group/config", version, news[3])
        if gossip.publish("layout", version, news):
            gossip.remaining_sends.pop("layout", None)

    def take(self, index, state):
        """Take a config state read from its owner or a store, and pass it on once as news."""
        gossip = self.node.find("gossip")
        gossip.publish("group/config", [index], state["group"])
        if index > self.index:
            news = [index, state["version"], state["layout"], state["group"]]
            gossip.publish("layout", [index], news)
            gossip.remaining_sends["layout"] = 1

    def _swap(self, news):
        index, version, configuration, group = news
        if index > self.index:
            if version != self.version:
                self.taken_at = self.node.now()
            self.index, self.version, self.configuration = index, version, configuration
            self.group = group

    def route(self, name):
        """Return (entry, service, class) by the entry's name, or raise NotFound."""
        entries = (self.configuration or {}).get("entries", {})
        if name not in entries:
            raise NotFound(field="entry", entry=name)
        route = entries[name]
        return (
            route,
            self.configuration["services"][route["service"]],
            self.configuration["classes"][route["class"]],
        )

    def is_emptied(self, zone):
        """Tell whether operators want the domain's replicas to get nothing more."""
        return bool(self._order(zone).get("emptied"))

    def is_zone_draining(self, zone):
        """Tell whether operators want the domain's nodes, too, to take nothing more."""
        order = self._order(zone)
        return bool(order.get("emptied") and order.get("nodes", True))

    def _order(self, zone):
        return (self.configuration or {}).get("domains", {}).get(zone, {})
