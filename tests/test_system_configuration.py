"""Configurations of the platform: round trip, conversion to adoption commands and validation."""

import json

import pytest

from tests.fleet_stage import SelfFoundingFleet
from tests.system_calls import (
    BULK_ROUTE,
    FULL_CONFIGURATION,
    IDEMPOTENT_ROUTE,
    LIMITS,
    SECOND_SERVICE,
    SERVICE,
    STREAM_ROUTE,
    call,
    replace_configuration,
    to_adoption,
    to_configuration,
)


@pytest.fixture(scope="module")
def idle_stage():
    return SelfFoundingFleet(1)


def test_a_configuration_is_returned_unchanged():
    stage = SelfFoundingFleet(1)
    assert call(stage, "core-1", "GET", "/Config.Fetch")[:2] == (
        200,
        {"ver": 0, "routes": [], "svcs": []},
    )
    configuration_with_extra_field = {**FULL_CONFIGURATION, "remark": {"by": "someone"}}
    assert replace_configuration(stage, "core-2", configuration_with_extra_field, 0)[:2] == (
        200,
        {"ver": 7},
    )
    assert call(stage, "core-3", "GET", "/Config.Fetch")[:2] == (
        200,
        configuration_with_extra_field,
    )
    assert replace_configuration(stage, "core-4", configuration_with_extra_field, 0)[0] == 200
    assert (
        replace_configuration(stage, "core-4", {**configuration_with_extra_field, "ver": 9}, 0)[0]
        == 412
    )
    new_route = {**IDEMPOTENT_ROUTE, "prefix": "/new/", "later": 1.0}
    change = {
        "ver": 12,
        "upsert": {"routes": [new_route], "svcs": [{**SECOND_SERVICE, "max_conns": 5}]},
        "remove": {"routes": ["r-3", "r-never"]},
    }
    assert call(stage, "core-1", "POST", "/Config.Amend", change, 7)[0] == 200
    assert call(stage, "core-1", "POST", "/Config.Amend", change, 7)[0] == 200
    assert replace_configuration(stage, "core-4", configuration_with_extra_field, 0)[0] == 200
    assert call(stage, "core-2", "GET", "/Config.Fetch")[1] == {
        **configuration_with_extra_field,
        "ver": 12,
        "routes": [STREAM_ROUTE, new_route],
        "svcs": [SERVICE, {**SECOND_SERVICE, "max_conns": 5}],
    }


def test_a_configuration_is_converted_to_forwards_services_and_limits():
    command = to_adoption(FULL_CONFIGURATION, 0, True).to_wire()
    forwards, services = command["forwards"], command["services"]
    assert forwards["r-1"] == {
        "host": "one.example",
        "prefix": "/a/",
        "kind": "stream",
        "split": [["s1", 90], ["s2", 10]],
        "rounds": 2,
        "hold_ms": 5000,
        "goal_ms": 250,
        "urgency": 0,
        "resumable": True,
        "engine": True,
        "pause_ms": 300,
        "origin": STREAM_ROUTE,
    }
    assert forwards["r-2"]["split"] == [["s2", 1]] and forwards["r-2"]["kind"] == "repeatable"
    bulk_forward = forwards["r-3"]
    assert (
        bulk_forward["kind"],
        bulk_forward["due_ms"],
        bulk_forward["retain_ms"],
        bulk_forward["most_tokens"],
    ) == (
        "lot",
        8000,
        20_000,
        1100,
    )
    assert "hold_ms" not in bulk_forward
    assert services["s1"] == {
        "kind": "raw",
        "probe_path": "/healthz",
        "connections": 230,
        "warm_up_ms": 3000.0,
        "warm_rate": 32.0,
        "engine": {"slots": 32, "kv_tokens": 232000, "stride": 21},
        "origin": SERVICE,
    }
    assert services["s2"]["engine"] is None
    assert command["limits"] == {
        "head_bytes": 16384,
        "body_bytes": 4194304,
        "head_ms": 3000,
        "idle_ms": 15000,
        "origin": LIMITS,
    }
    configuration = {name: command[name] for name in ("forwards", "services", "limits")}
    assert to_configuration(7, configuration) == FULL_CONFIGURATION


INVALID = {
    "cut short": json.dumps(FULL_CONFIGURATION).encode()[:-30],
    "no object": [FULL_CONFIGURATION],
    "nothing": b"",
    "no version": {n: v for n, v in FULL_CONFIGURATION.items() if n != "ver"},
    "version is text": {**FULL_CONFIGURATION, "ver": "7"},
    "version is true": {**FULL_CONFIGURATION, "ver": True},
    "version 0": {**FULL_CONFIGURATION, "ver": 0},
    "no routes": {n: v for n, v in FULL_CONFIGURATION.items() if n != "routes"},
    "no services": {n: v for n, v in FULL_CONFIGURATION.items() if n != "svcs"},
    "unknown service": {**FULL_CONFIGURATION, "routes": [{**IDEMPOTENT_ROUTE, "svc": "none"}]},
    "unknown service in a split": {
        **FULL_CONFIGURATION,
        "routes": [
            {**STREAM_ROUTE, "split": [{"svc": "s1", "weight": 1}, {"svc": "none", "weight": 1}]}
        ],
    },
    "no service at all": {**FULL_CONFIGURATION, "routes": [{**IDEMPOTENT_ROUTE, "svc": None}]},
    "same place twice": {
        **FULL_CONFIGURATION,
        "routes": [IDEMPOTENT_ROUTE, {**IDEMPOTENT_ROUTE, "name": "r-9"}],
    },
    "same name twice": {
        **FULL_CONFIGURATION,
        "routes": [IDEMPOTENT_ROUTE, {**IDEMPOTENT_ROUTE, "prefix": "/z/"}],
    },
    "weights of 0": {
        **FULL_CONFIGURATION,
        "routes": [{**STREAM_ROUTE, "split": [{"svc": "s1", "weight": 0}]}],
    },
    "no time": {**FULL_CONFIGURATION, "routes": [{**IDEMPOTENT_ROUTE, "timeout_ms": 0}]},
    "no time for a lot": {**FULL_CONFIGURATION, "routes": [{**BULK_ROUTE, "timeout_ms": 0}]},
    "negative time": {**FULL_CONFIGURATION, "routes": [{**IDEMPOTENT_ROUTE, "timeout_ms": -5}]},
    "time is text": {**FULL_CONFIGURATION, "routes": [{**IDEMPOTENT_ROUTE, "timeout_ms": "5"}]},
    "prefix without a slash": {
        **FULL_CONFIGURATION,
        "routes": [{**IDEMPOTENT_ROUTE, "prefix": "/b"}],
    },
    "no prefix": {**FULL_CONFIGURATION, "routes": [{**IDEMPOTENT_ROUTE, "prefix": None}]},
    "no host": {**FULL_CONFIGURATION, "routes": [{**IDEMPOTENT_ROUTE, "host": None}]},
    "unknown kind": {**FULL_CONFIGURATION, "routes": [{**IDEMPOTENT_ROUTE, "kind": "walk"}]},
    "kind is a list": {**FULL_CONFIGURATION, "routes": [{**IDEMPOTENT_ROUTE, "kind": ["sse"]}]},
    "route without a name": {**FULL_CONFIGURATION, "routes": [{**IDEMPOTENT_ROUTE, "name": None}]},
    "routes no list": {**FULL_CONFIGURATION, "routes": {"r": IDEMPOTENT_ROUTE}},
    "limits no object": {**FULL_CONFIGURATION, "limits": [1]},
}


@pytest.mark.parametrize("body", INVALID.values(), ids=INVALID)
def test_an_invalid_configuration_gets_400_and_changes_nothing(idle_stage, body):
    assert replace_configuration(idle_stage, "core-2", body, 0)[0] == 400
    assert call(idle_stage, "core-1", "GET", "/Config.Fetch")[1]["ver"] == 0


@pytest.mark.parametrize("base", [None, "", "x", "-1", "1.0"])
def test_a_configuration_without_a_valid_base_version_gets_400(idle_stage, base):
    assert replace_configuration(idle_stage, "core-2", FULL_CONFIGURATION, base)[0] == 400
