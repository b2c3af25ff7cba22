"""Invariants checked over the whole fleet ten times a second: configurations, parts, queues."""

import hashlib

import cbor2


class Monitor:
    """Checks the invariants that no single caller can see; violations go to the history.

    An edge with a fresh configuration serves an accepted version within 2 s, never an older one
    again; a version has one content; replicas of a part agree at each index; no queue grows beyond
    bounds.
    """

    def __init__(self, sim):
        self.sim = sim
        self.accepted = []
        self.served_versions = {}
        self.configurations = {}
        self.snapshots = {}
        sim.env.process(self.run())

    def accept(self, version):
        """An operator was told that this version is accepted."""
        self.accepted.append((self.sim.env.now, version))

    def run(self):
        """Process: check everything ten times a second."""
        while True:
            yield self.sim.env.timeout(0.1)
            for name, node in self.sim.nodes.items():
                if self.sim.is_up(node):
                    self._check_configuration(name, node)
                    if node.me.role == "store":
                        self._check_parts(name, node.find("acceptors"))
                    self._check_room(name, node)

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
            self.sim.history.violate(f"{name} fell back to layout {snapshot.version}")
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

    def _check_room(self, name, node):
        dispatch = node.find("dispatch")
        if dispatch is not None and len(dispatch.queue) > 2000:
            self.sim.history.violate(f"{name}: {len(dispatch.queue)} wait")
