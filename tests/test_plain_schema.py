"""The quick word on schemas: never says sound where the library finds a fault."""

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
BEAT_ROW = {
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
    (HEARTBEAT_SCHEMA.schema, BEAT_ROW),
    (FORWARD_VALIDATOR.schema, FORWARD_ROW),
    (RAW_SERVICE_VALIDATOR.schema, SERVICE_ROW),
    (LIMITS_VALIDATOR.schema, LIMITS_ROW),
]
ODD_VALUES = [None, True, 0, -1, 1.0, 0.5, 10**9, float("nan"), float("inf"), "", "x", "a" * 3000]
ODD_VALUES += [[], [1], {}, {"x": 1}, "raw", "edge", "127.0.0.1:1", "127.0.0.1:1\n"]


def inner_places(value):
    """Return (container, key) of everything inside a value."""
    keys = value if isinstance(value, dict) else range(len(value)) if type(value) is list else ()
    own_places = [(value, key) for key in keys]
    return own_places + [place for key in keys for place in inner_places(value[key])]


def odd_value(chance):
    """Return a value that most places don't bear."""
    return copy.deepcopy(chance.choice(ODD_VALUES))


def changed(chance, value):
    """Return a copy of a value with one to three places changed, added or taken away."""
    value = copy.deepcopy(value)
    for _ in range(chance.randint(1, 3)):
        container, key = chance.choice(inner_places(value) or [({}, "x")])
        way = chance.randrange(4)
        if way == 0 and isinstance(container, dict):
            container.pop(key, None)
        elif way == 1 and isinstance(container, dict):
            container[chance.choice(["x", "if", 3, *container])] = odd_value(chance)
        else:
            container[key] = odd_value(chance)
    return value


def library_faults(schema, value):
    """Return the faults that the library finds."""
    return list(StrictValidator.get_validator_class()(schema).iter_errors(value))


@pytest.mark.parametrize("schema, value", CASES)
def test_sound_values_are_found_sound_at_once(schema, value):
    assert is_certainly_valid(schema, value)
    assert library_faults(schema, value) == []


@pytest.mark.parametrize("schema, value", CASES)
def test_nothing_is_called_sound_in_which_the_library_finds_a_fault(schema, value):
    chance = random.Random(7)
    sound_count = 0
    for _ in range(1500):
        candidate = changed(chance, value)
        if is_certainly_valid(schema, candidate):
            sound_count += 1
            assert library_faults(schema, candidate) == [], candidate
    assert 0 < sound_count < 1500


def test_a_keyword_that_is_not_read_leaves_the_word_to_the_library():
    schema = {"type": "object", "maxProperties": 0}
    assert not is_certainly_valid(schema, {})
    validator = StrictValidator(schema)
    assert list(validator.iter_errors({})) == []
    assert [error.validator for error in validator.iter_errors({"x": 1})] == ["maxProperties"]


def test_faults_are_told_as_the_library_tells_them():
    faults = list(StrictValidator(SCHEMA).iter_errors({**SETTINGS, "losses": True}))
    assert [(list(fault.absolute_path), fault.validator) for fault in faults] == [
        (["losses"], "type")
    ]


def test_a_start_loads_no_library_that_it_does_not_use():
    code = (
        "import sys; import quillring.verbs.process; from quillring.kernel.settings import "
        f"check_settings; check_settings({SETTINGS!r}); "
        "print([n for n in ('attr', 'referencing', 'urllib.request', 'more_itertools', "
        "'icalendar', 'click', 'geventhttpclient') if n in sys.modules])"
    )
    shown = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert shown.stdout.strip() == "[]"
