"""Hypothesis settings of the property tests: deterministic, without deadline or example database.

PROPERTY_FACTOR multiplies the number of examples, for example
`PROPERTY_FACTOR=20 pytest tests/test_connection_machine.py`.
"""

import os

from hypothesis import settings

FACTOR = int(os.environ.get("PROPERTY_FACTOR", "1"))


def profile(examples, steps=30):
    """Return settings for `examples` * PROPERTY_FACTOR examples of at most `steps` steps each."""
    return settings(
        max_examples=examples * FACTOR,
        stateful_step_count=steps,
        derandomize=True,
        deadline=None,
        database=None,
    )
