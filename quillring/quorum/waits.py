"""Pauses between attempts, spread by chance so that nodes do not act in step."""

from quillring.kernel.effects import Sleep


def wait_for_owner(node, seconds):
    """Script: a pause between two rounds of finding a part's owner."""
    yield Sleep(seconds * (0.5 + node.world.random.random()))
