"""Runs the quillring program with a network whose pairs can be cut by a file; a test aid."""

import json
import os

from quillring.kernel.errors import DiskError
from quillring.kernel.gevent_runtime import GeventRuntime
from quillring.store import FolderDisk
from quillring.verbs import cli, process, program

CUTS_FILE = os.environ.get("PROVING_CUTS", "")
FULL_FILE = os.environ.get("PROVING_FULL", "")


class FaultyRuntime(GeventRuntime):
    """Drops what would cross a cut; the file lists [from address, to address] pairs."""

    def __init__(self, *fields):
        super().__init__(*fields)
        self.cuts, self.stamp, self.home = frozenset(), None, None

    def listen(self, host, port, on_datagram, on_frame):
        """Listen, and remember the own address."""
        self.home = f"{host}:{port}"
        return super().listen(host, port, on_datagram, on_frame)

    def is_cut(self, address):
        """Tell whether the way to the address is cut now."""
        try:
            stamp = os.stat(CUTS_FILE).st_mtime_ns
        except OSError:
            return False
        if stamp != self.stamp:
            with open(CUTS_FILE, encoding="utf-8") as cuts_file:
                self.cuts = frozenset(tuple(pair) for pair in json.load(cuts_file))
            self.stamp = stamp
        return (self.home, f"{address[0]}:{address[1]}") in self.cuts

    def datagram(self, address, data):
        """Send unless cut."""
        if not self.is_cut(address):
            super().datagram(address, data)

    def frame(self, address, data):
        """Send unless cut."""
        if not self.is_cut(address):
            super().frame(address, data)


class FullDisk(FolderDisk):
    """A data folder with no room left while a file lists it."""

    __slots__ = ()

    def _check_room(self, name):
        try:
            with open(FULL_FILE, encoding="utf-8") as full_file:
                is_full = self.folder in json.load(full_file)
        except (OSError, ValueError):
            is_full = False
        if is_full:
            raise DiskError(file=name, reason="no space left")

    def write(self, name, data):
        """Write unless full."""
        self._check_room(name)
        super().write(name, data)

    def append(self, name, data):
        """Append unless full."""
        self._check_room(name)
        super().append(name, data)


def main():
    """Run the program on the faulty runtime."""
    real_run = process.run_process
    process.FolderDisk = FullDisk
    cli.run_process = lambda settings, reread: real_run(settings, reread, FaultyRuntime)
    program.main()


if __name__ == "__main__":
    main()
