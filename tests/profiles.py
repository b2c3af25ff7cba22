"""The settings of property tests: the same draws at each run, no time limit, no kept examples.

`PROPERTY_FACTOR=20 pytest tests/test_connection_machine.py` draws twenty times as many.
"""

import os

from hypothesis import settings

FACTOR = int(os.environ.get("PROPERTY_FACTOR", "1"))


def profile(examples, steps=30):
    """Return settings for so many examples (times the factor) of so many steps."""
    return settings(
        max_examples=examples * FACTOR,
        stateful_step_count=steps,
        derandomize=True,
        deadline=None,
        database=None,
    )
