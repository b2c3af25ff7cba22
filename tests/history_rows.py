"""Operations of made-up histories, for the tests of the checker."""

from proving.histories.checker import check_operations
from proving.histories.operations import Adopt, ConfigurationSeen, Operation

DOMAINS = [("store-1", "north"), ("store-2", "east"), ("store-3", "south"), ("store-4", "west")]


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
