"""Importing the fleet registers every command and query that a stored log may contain."""

import json
import subprocess
import sys

LIST_NAMES_SCRIPT = """
import json
import quillring.fleet
from quillring.quorum.commands import COMMANDS, QUERIES
print(json.dumps([COMMANDS.names(), QUERIES.names()]))
"""
COMMAND_NAMES = [
    "domain.mark",
    "edition.adopt",
    "group.change",
    "layout.adopt",
    "lot.accept",
    "lot.cancel",
    "lot.drop",
    "lot.release",
    "lot.result",
    "lot.start",
    "plan.confirm",
    "plan.propose",
    "plan.step",
    "plan.stop",
    "raw.accept",
    "raw.drop",
    "raw.end",
    "raw.expire",
    "raw.failed",
    "raw.fence",
    "raw.release",
    "raw.reserve",
    "raw.result",
    "store.mark",
]
QUERY_NAMES = [
    "edition",
    "layout",
    "lot.fence",
    "lot.results",
    "lot.status",
    "plan",
    "plans",
    "raw.body",
    "raw.known",
    "raw.results",
    "version",
]


def test_loading_the_fleet_registers_all_commands_and_queries():
    completed = subprocess.run(
        [sys.executable, "-c", LIST_NAMES_SCRIPT], capture_output=True, text=True, check=True
    )
    assert json.loads(completed.stdout) == [COMMAND_NAMES, QUERY_NAMES]
