"""Runs the quillring program with links that can be cut and disks that can be full.

The files named by PROVING_CUTS and PROVING_FULL control these faults; for tests only.
"""

import json
import os

from quillring.kernel.errors import DiskError
from quillring.kernel.gevent_runtime import GeventRuntime
from quillring.store import FolderDisk
from quillring.verbs import cli, process, program

CUTS_FILE = os.environ.get("PROVING_CUTS", "")
FULL_DISKS_FILE = os.environ.get("PROVING_FULL", "")


class FaultyRuntime(GeventRuntime):
    """Drops packets on cut links; the file lists them as [from address, to address]."""

    def __init__(self, *fields):
        super().__init__(*fields)
        self.cuts, self.cuts_mtime_ns, self.own_address = frozenset(), None, None

    def listen(self, host, port, on_datagram, on_frame):
        """Listen, and record the node's own address."""
        self.own_address = f"{host}:{port}"
        return super().listen(host, port, on_datagram, on_frame)

    def is_link_cut(self, address):
        """Return whether the link to the address is cut; read the file again if it changed."""
        try:
            cuts_mtime_ns = os.stat(CUTS_FILE).st_mtime_ns
        except OSError:
            return False
        if cuts_mtime_ns != self.cuts_mtime_ns:
            with open(CUTS_FILE, encoding="utf-8") as cuts_file:
                self.cuts = frozenset(tuple(pair) for pair in json.load(cuts_file))
            self.cuts_mtime_ns = cuts_mtime_ns
        return (self.own_address, f"{address[0]}:{address[1]}") in self.cuts

    def datagram(self, address, data):
        """Send unless the link is cut."""
        if not self.is_link_cut(address):
            super().datagram(address, data)

    def frame(self, address, data):
        """Send unless the link is cut."""
        if not self.is_link_cut(address):
            super().frame(address, data)


class FillableDisk(FolderDisk):
    """A data folder whose writes fail as if the disk were full while the file lists the folder."""

    __slots__ = ()

    def _check_space(self, name):
        try:
            with open(FULL_DISKS_FILE, encoding="utf-8") as full_file:
                is_full = self.folder in json.load(full_file)
        except (OSError, ValueError):
            is_full = False
        if is_full:
            raise DiskError(file=name, reason="no space left")

    def write(self, name, data):
        """Write a file; DiskError if the disk is full."""
        self._check_space(name)
        super().write(name, data)

    def append(self, name, data):
        """Append to a file; DiskError if the disk is full."""
        self._check_space(name)
        super().append(name, data)


def main():
    """Run the program with fault injection."""
    real_run = process.run_process
    process.FolderDisk = FillableDisk
    cli.run_process = lambda settings, reread: real_run(settings, reread, FaultyRuntime)
    program.main()


if __name__ == "__main__":
    main()
