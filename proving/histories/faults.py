"""The faults of a recorded run: partitions, freezes, kills, lost disks and delayed messages."""

from proving.sim.chaos import Chaos

CUT_SECONDS = (2.0, 20.0)
FREEZE_SECONDS = (0.5, 12.0)
BLOCKED_AFTER_THAW_SECONDS = 0.3
LATE_COPY_SHARE = 0.03
LATE_SHARE = 0.005
HOLD_MESSAGES_SECONDS = (3.0, 10.0)


class HistoryFaults(Chaos):
    """Injects faults into the control plane, more often and for longer than Chaos.

    The name of each method in `kinds` appears in the counts of the run.
    """

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
        """Process: partition two groups by silent packet loss, then heal.

        Half of the partitions last for the longest time in CUT_SECONDS.
        """
        before = set(self.sim.net.cuts)
        self.sim.cut(names, others, both_ways)
        added = self.sim.net.cuts - before
        is_long = self.sim.chance.random() < 0.5
        yield self.sim.env.timeout(
            CUT_SECONDS[1] if is_long else self.sim.chance.uniform(*CUT_SECONDS)
        )
        self.sim.history.note("cut healed")
        self.sim.net.cuts -= added

    def owner_name(self):
        """Return the core that owns the config part according to the gossip of a random edge."""
        edges = self.sim.up_nodes("edge") or list(self.sim.nodes.values())
        record = self.sim.chance.choice(edges).find("gossip").get("owner/config") or {}
        return record.get("owner", self.sim.names("core")[0])

    def cut_owner(self):
        """The owner of the config part is partitioned from all but fewer than half of the nodes."""
        owner = self.owner_name()
        others = [name for name in sorted(self.sim.nodes) if name != owner]
        connected_count = self.sim.chance.randrange(len(others) // 2)
        both_ways = self.sim.chance.random() < 0.5
        yield from self._cut_for(
            [owner], self.sim.chance.sample(others, len(others) - connected_count), both_ways
        )

    def freeze_owner(self):
        """The owner of the config part freezes and thaws.

        In half of the cases it also receives nothing that was sent meanwhile.
        """
        name, seconds = self.owner_name(), self.sim.chance.uniform(*FREEZE_SECONDS)
        if self.sim.is_up(self.sim.nodes[name]):
            self.sim.freeze(name, seconds)
        if self.sim.chance.random() < 0.5:
            others = [other for other in sorted(self.sim.nodes) if other != name]
            yield from self.block_incoming(name, others, self.sim.env.now + seconds)
        yield self.sim.env.timeout(0)

    def block_incoming(self, name, others, thaw_at):
        """Process: drop all messages to a frozen node until shortly after it thaws at `thaw_at`."""
        before = set(self.sim.net.cuts)
        self.sim.cut(others, [name], both_ways=False)
        added = self.sim.net.cuts - before
        yield self.sim.env.timeout(thaw_at - self.sim.env.now + BLOCKED_AFTER_THAW_SECONDS)
        self.sim.net.cuts -= added

    def restart_after(self, name, seconds):
        """Process: restart a killed node after `seconds`, and retry at that interval on failure."""
        yield from self._restart_after(name, seconds)

    def restart_owner(self):
        """The owner of the config part is killed and restarts within a second.

        Delayed copies of messages to its previous process may reach the new one.
        """
        name = self.owner_name()
        if self.sim.is_up(self.sim.nodes[name]):
            self.sim.kill(name)
            yield from self._restart_after(name, self.sim.chance.uniform(0.1, 1.0))
        yield self.sim.env.timeout(0)

    def freeze_any(self):
        """A process freezes and thaws."""
        name = self._pick_node(self.sim.chance.choice(["edge", "core", "store"]))
        if name is not None:
            self.sim.freeze(name, self.sim.chance.uniform(*FREEZE_SECONDS))
        yield self.sim.env.timeout(0)

    def held_messages(self):
        """Messages, or copies of them, are delivered with delays of up to 25 seconds."""
        net = self.sim.net
        self.sim.history.note("messages are held")
        net.late_copy_share, net.late_share = LATE_COPY_SHARE * 3, LATE_SHARE * 5
        yield self.sim.env.timeout(self.sim.chance.uniform(*HOLD_MESSAGES_SECONDS))
        net.late_copy_share, net.late_share = LATE_COPY_SHARE, LATE_SHARE
