"""Helpers with which the seeded bugs patch the product."""

from contextlib import contextmanager
from unittest import mock

from proving.model.store_machine import as_coroutine
from proving.sim.disk import InstantLog
from quillring.quorum import Acceptors


def patch_handler(name, replacement):
    """Return a patch that replaces a handler of Acceptors.

    `replacement(real, self, body, origin)` gets the real handler; it returns a value or a
    coroutine.
    """
    real = getattr(Acceptors, name)

    def handler(self, body, origin):
        return (yield from as_coroutine(replacement(real, self, body, origin)))

    return mock.patch.object(Acceptors, name, handler)


@contextmanager
def apply_patches(patches):
    """Context manager that applies several patches together."""
    entered = []
    try:
        for patch in patches:
            patch.start()
            entered.append(patch)
        yield
    finally:
        for patch in reversed(entered):
            patch.stop()


def run_without_sync(real, self, body, origin):
    """Coroutine: run a handler with a log that doesn't write its records to disk."""
    log, self.log = self.log, InstantLog()
    try:
        return (yield from as_coroutine(real(self, body, origin)))
    finally:
        self.log = log
