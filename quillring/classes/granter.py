"""The deciding core of a service: grants class room to takers, and cold replicas' slots."""

from quillring.classes.shares import divide, ramp, split
from quillring.kernel.errors import NotOwner
from quillring.nifty.graph import score
from quillring.quorum.parts import part_of

WARM_UP_MS = 8000


class Asked:
    """What a taker last asked for a service, and the cold slots it may hold until when."""

    __slots__ = ("at", "demands", "cold", "cold_until")

    def __init__(self, at, demands, cold, cold_until):
        self.at = at
        self.demands = demands
        self.cold = cold
        self.cold_until = cold_until


class Granter:
    """Answers takers for the services whose part this core owns, while its fence holds."""

    __slots__ = ("node", "asked", "owned_since")

    def __init__(self, node):
        self.node = node
        self.asked = {}
        self.owned_since = {}
        node.find("ownership").leader_listeners.append(self._on_owner)
        node.handle("grants.ask", self.on_ask)

    @property
    def lease(self):
        """Seconds for which a grant of cold slots holds."""
        return self.node.bounds.propagation

    def _on_owner(self, owner, batch):
        ballot, _ = self.owned_since.get(owner.part, (None, 0))
        if owner.is_leader and ballot != owner.ballot:
            self.owned_since[owner.part] = (owner.ballot, self.node.now())
        elif not owner.is_leader and ballot == owner.ballot:
            del self.owned_since[owner.part]

    def on_ask(self, body, origin):
        """Grant a taker its class limits and cold slots for one service."""
        service = body["service"]
        ownership = self.node.find("ownership")
        part = part_of(service, len(ownership.parts()) - 1)
        owner = ownership.leaders.get(part)
        if owner is None or not owner.has_lease():
            raise NotOwner(part=part)
        now = self.node.now()
        former = self.asked.get((service, origin))
        held_cold = dict(body["cold"])
        self.asked[(service, origin)] = Asked(now, body["demands"], held_cold, now + self.lease)
        cold = self._cold_slots(service, origin, now, former, now - self.owned_since[part][1])
        asked = self.asked[(service, origin)]
        names = dict.fromkeys((*cold, *held_cold))
        asked.cold = {name: max(cold.get(name, 0), held_cold.get(name, 0)) for name in names}
        return {"limits": self._limits(service, origin, now), "cold": cold, "lease": self.lease}

    def _limits(self, service, taker, now):
        configuration = self.node.find("layout").configuration or {"classes": {}}
        replicas = self.node.find("replicas").available(service)
        room = sum(self.bearable(replica) for replica in replicas)
        takers = {
            name: asked.demands
            for (s, name), asked in self.asked.items()
            if s == service and now - asked.at < self.node.bounds.propagation / 2
        }
        class_names = sorted(
            {c for demands in takers.values() for c in demands} & set(configuration["classes"])
        )
        demands = {c: sum(d.get(c, 0) for d in takers.values()) for c in class_names}
        granted = divide(room, configuration["classes"], demands)
        idle_part = max(0, room - sum(granted.values())) // max(1, len(takers))
        return {
            c: split(granted[c], {n: d.get(c, 0) for n, d in takers.items()})[taker] + idle_part
            for c in class_names
        }

    def bearable(self, replica):
        """Return how much a replica bears now, by the ramp while it is cold."""
        if replica.state != "cold":
            return replica.slots
        services = (self.node.find("layout").configuration or {}).get("services", {})
        warm_up = services.get(replica.service, {}).get("warm_up_ms", WARM_UP_MS) / 1000
        return ramp(replica.slots, self.node.now() - replica.first_seen_at, warm_up)

    def _cold_slots(self, service, taker, now, former, owned_for):
        """Return {replica: slots}; what others may still hold is never granted twice."""
        cold_replicas = [
            r for r in self.node.find("replicas").available(service) if r.state == "cold"
        ]
        held = self.asked[(service, taker)].cold
        if owned_for < self.lease:
            return {r.name: held[r.name] for r in cold_replicas if held.get(r.name)}
        takers = {
            name: asked
            for (s, name), asked in self.asked.items()
            if s == service and asked.cold_until > now
        }
        slots = {}
        for replica in cold_replicas:
            elsewhere = sum(
                asked.cold.get(replica.name, 0) for n, asked in takers.items() if n != taker
            )
            wanted = split(
                self.bearable(replica),
                {name: sum(asked.demands.values()) + 1 for name, asked in takers.items()},
            )[taker]
            ranked_takers = sorted(takers, key=lambda n: score(replica.name, n), reverse=True)
            if self.bearable(replica) < len(takers):
                wanted = int(taker in ranked_takers[: self.bearable(replica)])
            slots[replica.name] = max(0, min(wanted, self.bearable(replica) - elsewhere))
        return {name: count for name, count in slots.items() if count}
