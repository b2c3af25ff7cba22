"""Invariants over the whole fleet, checked ten times per second: configurations, parts, queues."""

import hashlib

import cbor2


class Monitor:
    """Checks invariants that no single caller can observe and records violations in the history.

    An edge with a fresh configuration serves an accepted version within 2 s and never returns to
    an older one. A version has one content. Replicas of a part agree at each index. No dispatch
    queue exceeds 2000 entries.
    """

    def __init__(self, sim):
        self.sim = sim
        self.accepted = []
        self.served_versions = {}
        self.configurations = {}
        self.snapshots = {}
        sim.env.process(self.run())

    def accept(self, version):
        """Record that an operator received the acceptance of this version."""
        self.accepted.append((self.sim.env.now, version))

    def run(self):
        """Process: check all invariants ten times per second of simulated time."""
        while True:
            yield self.sim.env.timeout(0.1)
            for name, node in self.sim.nodes.items():
                if self.sim.is_up(node):
                    self._check_configuration(name, node)
                    if node.me.role == "store":
                        self._check_parts(name, node.find("acceptors"))
                    self._check_queue(name, node)

    def _check_configuration(self, name, node):
        snapshot, now = node.find("layout"), self.sim.env.now
        if snapshot.configuration is None:
            return
        digest = hashlib.sha256(cbor2.dumps(snapshot.configuration)).hexdigest()
        if self.configurations.setdefault(snapshot.version, digest) != digest:
            self.sim.history.violate(f"{name}: two layouts under version {snapshot.version}")
        if node.me.role != "edge" or not node.find("freshness").is_fresh():
            return
        due_version = max((v for at, v in self.accepted if now > at + 2.0), default=0)
        if snapshot.version < due_version:
            self.sim.history.violate(f"{name} serves layout {snapshot.version}, due {due_version}")
        if snapshot.version < self.served_versions.get(name, 0):
            self.sim.history.violate(f"{name} returned to older layout {snapshot.version}")
        self.served_versions[name] = snapshot.version

    def _check_parts(self, name, acceptors):
        for part, record in acceptors.parts.items():
            if record.state is None:
                continue
            key = (part, record.applied)
            if self.snapshots.get((name, key)) is record.state:
                continue
            self.snapshots[(name, key)] = record.state
            digest = hashlib.sha256(cbor2.dumps(record.state, canonical=True)).hexdigest()
            if self.snapshots.setdefault(key, digest) != digest:
                self.sim.history.violate(f"{name}: {part} differs at {record.applied}")

    def _check_queue(self, name, node):
        dispatch = node.find("dispatch")
        if dispatch is not None and len(dispatch.queue) > 2000:
            self.sim.history.violate(f"{name}: {len(dispatch.queue)} inquiries are queued")
