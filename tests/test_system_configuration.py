import json

import pytest

from tests.fleet_stage import SelfFoundingFleet
from tests.system_calls import (
    BULK,
    LIMITS,
    OTHER,
    PLAIN,
    ROUTE,
    SERVICE,
    WHOLE,
    call,
    replace,
    to_adoption,
    to_configuration,
)


@pytest.fixture(scope="module")
def calm():
    return SelfFoundingFleet(1)


def test_a_configuration_comes_back_as_it_was_given():
    stage = SelfFoundingFleet(1)
    assert call(stage, "core-1", "GET", "/Config.Fetch")[:2] == (
        200,
        {"ver": 0, "routes": [], "svcs": []},
    )
    whole = {**WHOLE, "remark": {"by": "someone"}}
    assert replace(stage, "core-2", whole, 0)[:2] == (200, {"ver": 7})
    assert call(stage, "core-3", "GET", "/Config.Fetch")[:2] == (200, whole)
    assert replace(stage, "core-4", whole, 0)[0] == 200
    assert replace(stage, "core-4", {**whole, "ver": 9}, 0)[0] == 412
    new_route = {**PLAIN, "prefix": "/new/", "later": 1.0}
    change = {
        "ver": 12,
        "upsert": {"routes": [new_route], "svcs": [{**OTHER, "max_conns": 5}]},
        "remove": {"routes": ["r-3", "r-never"]},
    }
    assert call(stage, "core-1", "POST", "/Config.Amend", change, 7)[0] == 200
    assert call(stage, "core-1", "POST", "/Config.Amend", change, 7)[0] == 200
    assert replace(stage, "core-4", whole, 0)[0] == 200
    assert call(stage, "core-2", "GET", "/Config.Fetch")[1] == {
        **whole,
        "ver": 12,
        "routes": [ROUTE, new_route],
        "svcs": [SERVICE, {**OTHER, "max_conns": 5}],
    }


def test_a_configuration_becomes_forwards_services_and_limits_of_the_product():
    command = to_adoption(WHOLE, 0, True).to_wire()
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
        "origin": ROUTE,
    }
    assert forwards["r-2"]["split"] == [["s2", 1]] and forwards["r-2"]["kind"] == "repeatable"
    lot = forwards["r-3"]
    assert (lot["kind"], lot["due_ms"], lot["retain_ms"], lot["most_tokens"]) == (
        "lot",
        8000,
        20_000,
        1100,
    )
    assert "hold_ms" not in lot
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
    assert to_configuration(7, configuration) == WHOLE


INVALID = {
    "cut short": json.dumps(WHOLE).encode()[:-30],
    "no object": [WHOLE],
    "nothing": b"",
    "no version": {n: v for n, v in WHOLE.items() if n != "ver"},
    "version is text": {**WHOLE, "ver": "7"},
    "version is true": {**WHOLE, "ver": True},
    "version 0": {**WHOLE, "ver": 0},
    "no routes": {n: v for n, v in WHOLE.items() if n != "routes"},
    "no services": {n: v for n, v in WHOLE.items() if n != "svcs"},
    "unknown service": {**WHOLE, "routes": [{**PLAIN, "svc": "none"}]},
    "unknown service in a split": {
        **WHOLE,
        "routes": [{**ROUTE, "split": [{"svc": "s1", "weight": 1}, {"svc": "none", "weight": 1}]}],
    },
    "no service at all": {**WHOLE, "routes": [{**PLAIN, "svc": None}]},
    "same place twice": {**WHOLE, "routes": [PLAIN, {**PLAIN, "name": "r-9"}]},
    "same name twice": {**WHOLE, "routes": [PLAIN, {**PLAIN, "prefix": "/z/"}]},
    "weights of 0": {**WHOLE, "routes": [{**ROUTE, "split": [{"svc": "s1", "weight": 0}]}]},
    "no time": {**WHOLE, "routes": [{**PLAIN, "timeout_ms": 0}]},
    "no time for a lot": {**WHOLE, "routes": [{**BULK, "timeout_ms": 0}]},
    "negative time": {**WHOLE, "routes": [{**PLAIN, "timeout_ms": -5}]},
    "time is text": {**WHOLE, "routes": [{**PLAIN, "timeout_ms": "5"}]},
    "prefix without a slash": {**WHOLE, "routes": [{**PLAIN, "prefix": "/b"}]},
    "no prefix": {**WHOLE, "routes": [{**PLAIN, "prefix": None}]},
    "no host": {**WHOLE, "routes": [{**PLAIN, "host": None}]},
    "unknown kind": {**WHOLE, "routes": [{**PLAIN, "kind": "walk"}]},
    "kind is a list": {**WHOLE, "routes": [{**PLAIN, "kind": ["sse"]}]},
    "route without a name": {**WHOLE, "routes": [{**PLAIN, "name": None}]},
    "routes no list": {**WHOLE, "routes": {"r": PLAIN}},
    "limits no object": {**WHOLE, "limits": [1]},
}


@pytest.mark.parametrize("body", INVALID.values(), ids=INVALID)
def test_an_invalid_configuration_gets_400_and_changes_nothing(calm, body):
    assert replace(calm, "core-2", body, 0)[0] == 400
    assert call(calm, "core-1", "GET", "/Config.Fetch")[1]["ver"] == 0


@pytest.mark.parametrize("base", [None, "", "x", "-1", "1.0"])
def test_a_configuration_without_a_sound_base_gets_400(calm, base):
    assert replace(calm, "core-2", WHOLE, base)[0] == 400
