"""An edge's or lot runner's side of the grants: asks, holds limits, tells who must pause."""

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import NotFounded, QuillringError
from quillring.quorum.parts import part_of

ASKS_A_BEAT = 4


class Taker:
    """The grant entries of this node, per service."""

    __slots__ = ("node", "limits", "limits_until", "cold", "cold_until", "on_grant")

    def __init__(self, node):
        self.node = node
        self.limits = {}
        self.limits_until = {}
        self.cold = {}
        self.cold_until = {}
        self.on_grant = lambda: None

    def run(self):
        """Coroutine: ask the deciding core of each service, more often while there is work."""
        ticks = 0
        while True:
            yield Sleep(self.node.bounds.heartbeat_interval / ASKS_A_BEAT)
            ticks += 1
            configuration = self.node.find("layout").configuration
            if configuration is None or self.node.is_draining:
                continue
            for service in sorted(
                n for n, s in configuration["services"].items() if s["kind"] != "raw"
            ):
                is_idle = not self.node.find("dispatch").demands(service)
                if not is_idle or ticks % ASKS_A_BEAT == 0:
                    self.node.spawn(self._ask(service))

    def _ask(self, service):
        ownership, dispatch = self.node.find("ownership"), self.node.find("dispatch")
        try:
            part = part_of(service, len(ownership.parts()) - 1)
        except NotFounded:
            return
        news = self.node.find("gossip").get(f"owner/{part}")
        if news is None or not self.node.find("nifty").reaches(news["owner"]):
            return
        ask_time = self.node.now()
        body = {
            "service": service,
            "demands": dispatch.demands(service),
            "cold": self._held_cold(service),
        }
        try:
            grant = yield from self.node.call(
                news["owner"], "grants.ask", body, self.node.bounds.heartbeat_interval
            )
        except QuillringError:
            return
        self.limits = {**self.limits, service: grant["limits"]}
        self.limits_until = {
            **self.limits_until,
            service: ask_time + self.node.bounds.propagation * 2,
        }
        self.cold = {**self.cold, service: grant["cold"]}
        self.cold_until = {**self.cold_until, service: ask_time + grant["lease"]}
        self.on_grant()

    def _held_cold(self, service):
        """Return what may be in use here: running at cold replicas, or granted and not over."""
        granted = self.cold.get(service, {}) if self._holds_cold(service) else {}
        replicas = [r for r in self.node.find("replicas").table.values() if r.state == "cold"]
        held = {
            r.name: max(r.in_flight, granted.get(r.name, 0))
            for r in replicas
            if r.service == service
        }
        return {name: count for name, count in held.items() if count}

    def _holds_cold(self, service):
        return self.node.now() < self.cold_until.get(service, 0)

    def cold_room(self, replica):
        """Return how many inquiries this node may have at a cold replica."""
        if not self._holds_cold(replica.service):
            return 0
        return self.cold.get(replica.service, {}).get(replica.name, 0)

    def is_decided(self, service):
        """Tell whether a deciding core answered lately."""
        granted_at = self.limits_until.get(service, 0) - self.node.bounds.propagation * 2
        return self.node.now() - granted_at < self.node.bounds.heartbeat_interval

    def limit(self, service, class_name):
        """Return how many inquiries of the class may run from here, None without a grant."""
        if self.node.now() >= self.limits_until.get(service, 0):
            return None
        return self.limits[service].get(class_name)
