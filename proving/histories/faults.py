"""The faults of a recorded run: long cuts, freezes, kills, lost disks and held messages."""

from proving.sim.chaos import Chaos

LONG_CUT = (2.0, 20.0)
FREEZE = (0.5, 12.0)
DEAF_SECONDS = 0.3
LATE_COPY_SHARE = 0.03
LATE_SHARE = 0.005
HELD_SECONDS = (3.0, 10.0)


class HistoryFaults(Chaos):
    """Faults that hit the control side, more of them and longer than on an ordinary day."""

    def __init__(self, sim):
        super().__init__(sim, None)
        self.fault_kinds = [
            self.kill_edge,
            self.kill_core,
            self.kill_core,
            self.kill_store,
            self.power_store,
            self.freeze_any,
            self.freeze_owner,
            self.freeze_owner,
            self.restart_owner,
            self.restart_owner,
            self.cut_pair,
            self.cut_partial,
            self.cut_one_way,
            self.cut_owner,
            self.isolate_store,
            self.isolate_core,
            self.split_whole,
            self.lossy,
            self.held_messages,
            self.held_messages,
            self.full_disk,
            self.lose_zone,
            self.lose_disk,
        ]

    def _cut_for(self, names, others, both_ways=True):
        """Process: a cut that packets vanish in; half of them last for the whole 20 seconds."""
        before = set(self.sim.net.cuts)
        self.sim.cut(names, others, both_ways)
        added = self.sim.net.cuts - before
        is_long = self.sim.chance.random() < 0.5
        yield self.sim.env.timeout(LONG_CUT[1] if is_long else self.sim.chance.uniform(*LONG_CUT))
        self.sim.history.note("cut healed")
        self.sim.net.cuts -= added

    def owner_name(self):
        """Return the core that owns the configuration part, as some edge heard it."""
        edges = self.sim.up_nodes("edge") or list(self.sim.nodes.values())
        news = self.sim.chance.choice(edges).find("gossip").get("owner/config") or {}
        return news.get("owner", self.sim.names("core")[0])

    def cut_owner(self):
        """The configuration's owner is cut off from everything but some nodes."""
        owner = self.owner_name()
        others = [name for name in sorted(self.sim.nodes) if name != owner]
        kept = self.sim.chance.randrange(len(others) // 2)
        both_ways = self.sim.chance.random() < 0.5
        yield from self._cut_for(
            [owner], self.sim.chance.sample(others, len(others) - kept), both_ways
        )

    def freeze_owner(self):
        """The configuration's owner freezes and wakes; at times without any news of meanwhile."""
        name, seconds = self.owner_name(), self.sim.chance.uniform(*FREEZE)
        if self.sim.is_up(self.sim.nodes[name]):
            self.sim.freeze(name, seconds)
        if self.sim.chance.random() < 0.5:
            others = [other for other in sorted(self.sim.nodes) if other != name]
            yield from self.keep_deaf(name, others, self.sim.env.now + seconds)
        yield self.sim.env.timeout(0)

    def keep_deaf(self, name, others, woken_at):
        """Process: a frozen node hears nothing of the others until a moment after it wakes."""
        before = set(self.sim.net.cuts)
        self.sim.cut(others, [name], both_ways=False)
        added = self.sim.net.cuts - before
        yield self.sim.env.timeout(woken_at - self.sim.env.now + DEAF_SECONDS)
        self.sim.net.cuts -= added

    def bring_back(self, name, seconds):
        """Process: a process that was killed starts again after so many seconds."""
        yield from self._restart_after(name, seconds)

    def restart_owner(self):
        """The configuration's owner dies and is back at once; copies for its former life come."""
        name = self.owner_name()
        if self.sim.is_up(self.sim.nodes[name]):
            self.sim.kill(name)
            yield from self._restart_after(name, self.sim.chance.uniform(0.1, 1.0))
        yield self.sim.env.timeout(0)

    def freeze_any(self):
        """A process freezes and wakes."""
        name = self._pick_node(self.sim.chance.choice(["edge", "core", "store"]))
        if name is not None:
            self.sim.freeze(name, self.sim.chance.uniform(*FREEZE))
        yield self.sim.env.timeout(0)

    def held_messages(self):
        """Messages and copies of them are held for up to 25 seconds, and come then."""
        net = self.sim.net
        self.sim.history.note("messages are held")
        net.late_copy_share, net.late_share = LATE_COPY_SHARE * 3, LATE_SHARE * 5
        yield self.sim.env.timeout(self.sim.chance.uniform(*HELD_SECONDS))
        net.late_copy_share, net.late_share = LATE_COPY_SHARE, LATE_SHARE
