"""The embedding examples run and print what they document."""

import subprocess
import sys

import pytest


@pytest.mark.parametrize(
    "name, lines",
    [
        (
            "nifty_trio",
            [
                "bridges: ('node-0', 'node-1', 'node-2')",
                "node-2 greets node-0",
                "news at node-2: fog",
            ],
        ),
        ("quorum_counter", ["founded: True", "counter: 42"]),
    ],
)
def test_an_embedding_example_runs(name, lines):
    outcome = subprocess.run(
        [sys.executable, f"examples/embed/{name}.py"],
        capture_output=True,
        text=True,
        timeout=120,
        check=True,
    )
    assert outcome.stdout.splitlines()[: len(lines)] == lines
