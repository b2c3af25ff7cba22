"""Builds the operations of synthetic histories for the tests of the checker and the models."""

from hypothesis import settings

from proving.histories.checker import check_operations
from proving.histories.operations import Adopt, ConfigurationSeen, Operation

HYPOTHESIS_SETTINGS = settings(max_examples=60, derandomize=True, deadline=None, database=None)
STORE_ZONES = [("store-1", "north"), ("store-2", "east"), ("store-3", "south"), ("store-4", "west")]


def operation(order, answer, begin, end=None):
    """Return an operation; its client, node and object do not matter to the checker."""
    return Operation("c", "n", "object", order, begin, end, answer)


def is_linearizable(model, *rows):
    """Return whether rows of (order, answer, begin[, end]) are linearizable under a model."""
    return check_operations(model, [operation(*row) for row in rows]).is_linearizable


def adopt(number, base, value, **fields):
    """Return an order that replaces the configuration by one with a single item."""
    return Adopt(number, base, True, (("a", value),), **fields)


def seen(number, value):
    """Return the answer to a read of a configuration with a single item; number 0 has none."""
    return ConfigurationSeen(number, (("a", value),) if number else ())


def overlapping(rows, rng, width):
    """Return operations in random order whose intervals overlap but allow the order of the rows.

    Row n takes effect at time n; its operation begins and ends up to `width` before and after.
    """
    operations = [
        operation(order, answer, turn - rng.uniform(0, width), turn + rng.uniform(0, width))
        for turn, (order, answer) in enumerate(rows)
    ]
    rng.shuffle(operations)
    return operations
