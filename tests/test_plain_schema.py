"""The quick schema check never accepts a value in which the jsonschema library finds a fault."""

import copy
import random
import subprocess
import sys

import pytest

from quillring.edge.replicas import HEARTBEAT_SCHEMA
from quillring.kernel.checks import StrictValidator
from quillring.kernel.plain_schema import is_certainly_valid
from quillring.kernel.settings import SCHEMA
from quillring.rollout.schema import FORWARD_VALIDATOR, LIMITS_VALIDATOR, RAW_SERVICE_VALIDATOR
from tests.settings_rows import EDGE_SETTINGS

SETTINGS = {
    **EDGE_SETTINGS,
    "bootstrap": True,
    "losses": 2,
    "bounds": {"news": 2.5, "grace": 8},
}
HEARTBEAT_ROW = {
    "name": "guide-1",
    "service": "guide",
    "domain": "north",
    "address": "10.0.0.1:8000",
    "slots": 12,
    "state": "ready",
    "incarnation": 0,
    "sequence": 3,
    "cold_ms": 1.5,
}
FORWARD_ROW = {"host": "a.example", "prefix": "/t/", "kind": "stream", "split": [["maps", 1]]}
SERVICE_ROW = {"kind": "raw", "probe_path": "/alive", "engine": {"slots": 12, "stride": 1.5}}
LIMITS_ROW = {"head_bytes": 16384, "idle_ms": 15000.0, "origin": {"any": [1]}}
CASES = [
    (SCHEMA, SETTINGS),
    (HEARTBEAT_SCHEMA.schema, HEARTBEAT_ROW),
    (FORWARD_VALIDATOR.schema, FORWARD_ROW),
    (RAW_SERVICE_VALIDATOR.schema, SERVICE_ROW),
    (LIMITS_VALIDATOR.schema, LIMITS_ROW),
]
ODD_VALUES = [None, True, 0, -1, 1.0, 0.5, 10**9, float("nan"), float("inf"), "", "x", "a" * 3000]
ODD_VALUES += [[], [1], {}, {"x": 1}, "raw", "edge", "127.0.0.1:1", "127.0.0.1:1\n"]


def nested_keys(value):
    """Return (container, key) for each item of a value, at any depth."""
    keys = value if isinstance(value, dict) else range(len(value)) if type(value) is list else ()
    own_keys = [(value, key) for key in keys]
    return own_keys + [nested_key for key in keys for nested_key in nested_keys(value[key])]


def random_odd_value(rng):
    """Return a value that is invalid in most places."""
    return copy.deepcopy(rng.choice(ODD_VALUES))


def mutate(rng, value):
    """Return a copy of a value with one to three items changed, added or removed."""
    value = copy.deepcopy(value)
    for _ in range(rng.randint(1, 3)):
        container, key = rng.choice(nested_keys(value) or [({}, "x")])
        mutation = rng.randrange(4)
        if mutation == 0 and isinstance(container, dict):
            container.pop(key, None)
        elif mutation == 1 and isinstance(container, dict):
            container[rng.choice(["x", "if", 3, *container])] = random_odd_value(rng)
        else:
            container[key] = random_odd_value(rng)
    return value


def library_faults(schema, value):
    """Return the faults that the library finds in a value."""
    return list(StrictValidator.get_validator_class()(schema).iter_errors(value))


@pytest.mark.parametrize("schema, value", CASES)
def test_valid_values_are_recognized_without_the_library(schema, value):
    assert is_certainly_valid(schema, value)
    assert library_faults(schema, value) == []


@pytest.mark.parametrize("schema, value", CASES)
def test_no_value_with_a_fault_is_considered_valid(schema, value):
    rng = random.Random(7)
    valid_count = 0
    for _ in range(1500):
        candidate = mutate(rng, value)
        if is_certainly_valid(schema, candidate):
            valid_count += 1
            assert library_faults(schema, candidate) == [], candidate
    assert 0 < valid_count < 1500


def test_an_unsupported_keyword_leaves_the_decision_to_the_library():
    schema = {"type": "object", "maxProperties": 0}
    assert not is_certainly_valid(schema, {})
    validator = StrictValidator(schema)
    assert list(validator.iter_errors({})) == []
    assert [error.validator for error in validator.iter_errors({"x": 1})] == ["maxProperties"]


def test_faults_are_reported_as_by_the_library():
    faults = list(StrictValidator(SCHEMA).iter_errors({**SETTINGS, "losses": True}))
    assert [(list(fault.absolute_path), fault.validator) for fault in faults] == [
        (["losses"], "type")
    ]


def test_a_process_start_imports_no_unused_library():
    code = (
        "import sys; import quillring.verbs.process; from quillring.kernel.settings import "
        f"check_settings; check_settings({SETTINGS!r}); "
        "print([n for n in ('attr', 'referencing', 'urllib.request', 'more_itertools', "
        "'icalendar', 'click', 'geventhttpclient') if n in sys.modules])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert completed.stdout.strip() == "[]"
