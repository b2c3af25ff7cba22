"""The configuration on a node: a snapshot, replaced as a unit by ones of higher log index."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.kernel.errors import NotFound
from quillring.kernel.records import NamedTuple
from quillring.quorum.parts import CONFIG_PART
from quillring.rollout.messages import ANNOUNCEMENT, Announcement, ConfigurationRecord

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import WireMap
    from quillring.quorum.leader.part_leader import PartLeader
    from quillring.quorum.values import Group

GOSSIP_KEY = "layout"
GROUP_KEY = f"group/{CONFIG_PART}"


class RouteTarget(NamedTuple):
    """A route, with the service and the class of service that it refers to."""

    route: WireMap
    service: WireMap
    service_class: WireMap


class ConfigurationSnapshot:
    """The newest configuration known to this node, from the config part's state at a log index.

    Attributes
    ----------
    index : index of the last log entry applied to that state, 0 if no state is known
    version : version of the state, which every change increments
    configuration : the configuration, or None if none is known
    group : the stores of the config part in that state, or None if no state is known
    """

    __slots__ = ("node", "index", "version", "configuration", "group")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.index = 0
        self.version = 0
        self.configuration: WireMap | None = None
        self.group: Group | None = None
        node.find("gossip").subscribe(GOSSIP_KEY, self._on_record)
        node.handle(ANNOUNCEMENT, self.on_announcement)
        if node.me.role == "core":
            node.find("ownership").leader_listeners.append(self._on_leader_change)

    def _on_leader_change(self, leader: PartLeader, batch: list[WireMap]) -> None:
        """On the leader of the config part, update the snapshot and announce applied commands."""
        if leader.part == CONFIG_PART and leader.is_leader and leader.state is not None:
            self.update(leader.index, leader.state)
            if batch:
                self._announce_to_all()

    def _announce_to_all(self) -> None:
        """Send the current record to every reachable member before the change is acknowledged."""
        entry = self.node.find("gossip").table[GOSSIP_KEY]
        record = ConfigurationRecord.from_wire(entry.value)
        body = Announcement(list(entry.version), record).to_wire()
        for name in sorted(self.node.find("nifty").graph.routes):
            self.node.send_oneway(name, ANNOUNCEMENT, body)

    def on_announcement(self, body: list[Any], origin: str) -> None:
        """Publish a record that the leader sent to all members; don't gossip it further."""
        announcement = Announcement.from_wire(body)
        version, fields = announcement.gossip_version, announcement.record.to_wire()
        gossip = self.node.find("gossip")
        gossip.publish(GROUP_KEY, version, fields[-1])
        if gossip.publish(GOSSIP_KEY, version, fields):
            gossip.remaining_sends.pop(GOSSIP_KEY, None)

    def update(self, index: int, state: WireMap) -> None:
        """Publish a config state read from the leader or a store; push it in one gossip round."""
        gossip = self.node.find("gossip")
        gossip.publish(GROUP_KEY, [index], state["group"])
        if index > self.index:
            fields = [index, state["version"], state["layout"], state["group"]]
            gossip.publish(GOSSIP_KEY, [index], fields)
            gossip.remaining_sends[GOSSIP_KEY] = 1

    def _on_record(self, key: str, fields: list[Any]) -> None:
        """Replace the snapshot by a gossiped record if its log index is higher."""
        record = ConfigurationRecord.from_wire(fields)
        if record.log_index > self.index:
            self.index, self.version = record.log_index, record.version
            self.configuration, self.group = record.configuration, record.group

    def route(self, name: str) -> RouteTarget:
        """Return the route of this name with its service and class, or raise NotFound."""
        configuration = self.configuration or {}
        routes = configuration.get("entries", {})
        if name not in routes:
            raise NotFound(field="entry", entry=name)
        route = routes[name]
        service = configuration["services"][route["service"]]
        return RouteTarget(route, service, configuration["classes"][route["class"]])

    def is_drained(self, zone: str) -> bool:
        """Return whether operators ordered the zone's replicas to be drained."""
        return bool(self._zone_order(zone).get("emptied"))

    def is_zone_draining(self, zone: str) -> bool:
        """Return whether operators ordered the zone's nodes to be drained too."""
        order = self._zone_order(zone)
        return bool(order.get("emptied") and order.get("nodes", True))

    def _zone_order(self, zone: str) -> WireMap:
        """Return the drain order for a zone in the configuration, or an empty map."""
        order: WireMap = (self.configuration or {}).get("domains", {}).get(zone, {})
        return order
