"""Operations of made-up histories, for the tests of the checker."""

from hypothesis import settings

from proving.histories.checker import check_operations
from proving.histories.operations import Adopt, ConfigurationSeen, Operation

HYPOTHESIS_SETTINGS = settings(max_examples=60, derandomize=True, deadline=None, database=None)
STORE_ZONES = [("store-1", "north"), ("store-2", "east"), ("store-3", "south"), ("store-4", "west")]


def operation(order, answer, begin, end=None):
    """Return an operation of some client."""
    return Operation("c", "n", "object", order, begin, end, answer)


def is_linearizable(model, *rows):
    """Check rows of (order, answer, begin, end)."""
    return check_operations(model, [operation(*row) for row in rows]).is_linearizable


def adopt(number, base, value, **fields):
    """Return an order for a whole configuration of one item."""
    return Adopt(number, base, True, (("a", value),), **fields)


def seen(number, value):
    """Return what a read of a configuration of one item tells."""
    return ConfigurationSeen(number, (("a", value),) if number else ())


def overlapping(rows, rng, width):
    """Return operations that take effect in this order, each within its own interval."""
    operations = [
        operation(order, answer, turn - rng.uniform(0, width), turn + rng.uniform(0, width))
        for turn, (order, answer) in enumerate(rows)
    ]
    rng.shuffle(operations)
    return operations
