"""What a store remembers of the replicas, so that a fleet that lost all power knows them at once.

It is no promise: a remembered replica counts as not heard until it beats, and every request names
the start of the replica that it is meant for.
"""

import zlib

import cbor2

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import DiskError, QuillringError

NAMES = ("replicas.0", "replicas.1")


class ReplicaMemory:
    """The table of replicas in two files written in turn, each with a checksum."""

    __slots__ = ("node", "disk", "turn", "kept_version")

    def __init__(self, node, disk):
        self.node = node
        self.disk = disk
        self.turn = 0
        self.kept_version = node.find("replicas").table_version

    def recall(self):
        """Take the beats of the newest readable file as old news."""
        kept = max(filter(None, map(self._read, NAMES)), default=None)
        if kept is None:
            return
        self.turn, beats = kept[0], kept[1]
        gossip = self.node.find("gossip")
        for beat in beats:
            try:
                gossip.publish(
                    f"replica/{beat['name']}", [beat["incarnation"], beat["sequence"]], beat
                )
            except (QuillringError, KeyError, TypeError):
                self.node.count("replicas_not_recalled")
        self.kept_version = self.node.find("replicas").table_version

    def _read(self, name):
        data = self.disk.read(name)
        if data is None or len(data) < 4 or zlib.crc32(data[4:]) != int.from_bytes(data[:4], "big"):
            return None
        return cbor2.loads(data[4:])

    def run(self):
        """Coroutine: write the table when it has changed, at most twice a news bound."""
        while True:
            yield Sleep(self.node.bounds.propagation / 2)
            if self.kept_version != self.node.find("replicas").table_version:
                self._keep()

    def _keep(self):
        replicas = self.node.find("replicas")
        self.turn, self.kept_version = self.turn + 1, replicas.table_version
        beats = list(self.node.find("gossip").values_with_prefix("replica/").values())
        body = cbor2.dumps([self.turn, beats])
        try:
            self.disk.write(NAMES[self.turn % 2], zlib.crc32(body).to_bytes(4, "big") + body)
        except DiskError as error:
            self.node.log("warning", "replicas: %s", error)
