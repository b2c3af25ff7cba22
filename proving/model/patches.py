"""Patches of the product's public seams, for the seeded bugs."""

from contextlib import contextmanager
from unittest import mock

from proving.model.store_machine import as_script
from proving.sim.disk import InstantLog
from quillring.quorum import Acceptors


def around(name, change):
    """Patch an acceptor's handler: `change(real, self, body, origin)` is a coroutine."""
    real = getattr(Acceptors, name)

    def handler(self, body, origin):
        return (yield from as_script(change(real, self, body, origin)))

    return mock.patch.object(Acceptors, name, handler)


@contextmanager
def all_of(patches):
    """Apply several patches together."""
    entered = []
    try:
        for patch in patches:
            patch.start()
            entered.append(patch)
        yield
    finally:
        for patch in reversed(entered):
            patch.stop()


def without_sync(real, self, body, origin):
    """Coroutine: run a handler whose records never reach the disk."""
    log, self.log = self.log, InstantLog()
    try:
        return (yield from as_script(real(self, body, origin)))
    finally:
        self.log = log
