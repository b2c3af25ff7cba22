"""On-disk snapshot of the replica table on a store, for a fast restart of the complete fleet.

The snapshot is best effort. An outdated entry is harmless: a restored replica is not alive until
its next heartbeat, and every request names the incarnation of the replica that is to run it.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING, Any

import cbor2

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import DiskError, QuillringError
from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

FILE_NAMES = ("replicas.0", "replicas.1")
CHECKSUM_BYTES = 4


class SnapshotFile(NamedTuple):
    """The content of a snapshot file: its generation and the last announcement of each replica."""

    generation: int
    announcements: list[dict[str, Any]]


class ReplicaSnapshot:
    """Owns two snapshot files, written alternately, each with a CRC-32 checksum."""

    __slots__ = ("node", "disk", "generation", "written_version")

    def __init__(self, node: Node, disk: Any) -> None:
        self.node = node
        self.disk = disk
        self.generation = 0
        self.written_version = node.find("replicas").table_version

    def restore(self) -> None:
        """Publish the announcements of the newest valid snapshot file in gossip."""
        files = [file for file in map(self._read, FILE_NAMES) if file is not None]
        if not files:
            return
        newest = max(files, key=lambda file: file.generation)
        self.generation = newest.generation
        gossip = self.node.find("gossip")
        for announcement in newest.announcements:
            try:
                version = [announcement["incarnation"], announcement["sequence"]]
                gossip.publish(f"replica/{announcement['name']}", version, announcement)
            except (QuillringError, KeyError, TypeError):
                self.node.count("replicas_not_recalled")
        self.written_version = self.node.find("replicas").table_version

    def _read(self, name: str) -> SnapshotFile | None:
        """Return the content of a file, or None if it is missing or fails its checksum."""
        data = self.disk.read(name)
        if data is None or len(data) < CHECKSUM_BYTES:
            return None
        checksum, body = data[:CHECKSUM_BYTES], data[CHECKSUM_BYTES:]
        if zlib.crc32(body) != int.from_bytes(checksum, "big"):
            return None
        return SnapshotFile._make(cbor2.loads(body))

    def run(self) -> Coroutine:
        """Every half `bounds.propagation`, write a snapshot if the table has changed."""
        while True:
            yield Sleep(self.node.bounds.propagation / 2)
            if self.written_version != self.node.find("replicas").table_version:
                self._write()

    def _write(self) -> None:
        """Write the next generation to the older of the two files; a disk error is only logged."""
        self.generation += 1
        self.written_version = self.node.find("replicas").table_version
        announcements = list(self.node.find("gossip").values_with_prefix("replica/").values())
        body = cbor2.dumps([self.generation, announcements])
        checksum = zlib.crc32(body).to_bytes(CHECKSUM_BYTES, "big")
        try:
            self.disk.write(FILE_NAMES[self.generation % 2], checksum + body)
        except DiskError as error:
            self.node.log("warning", "replica snapshot was not written: %s", error)
