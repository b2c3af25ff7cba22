"""The schema of layouts and the checks that go across its sections."""

import re

from quillring.kernel.checks import StrictValidator

NAME = "^[a-z][a-z0-9_-]{0,40}$"
MILLISECONDS = {"type": "integer", "minimum": 1, "maximum": 86_400_000}


def section(properties, required):
    """Return the schema of a section: named things of one shape; null takes one away."""
    return {
        "type": "object",
        "additionalProperties": False,
        "patternProperties": {
            NAME: {
                "type": "object",
                "additionalProperties": False,
                "properties": properties,
                "required": required,
            }
        },
    }


CLASS = section(
    {
        "first_piece_ms": MILLISECONDS,
        "time_left_ms": MILLISECONDS,
        "urgency": {"type": "integer", "minimum": 1, "maximum": 9},
        "share": {"type": "number", "minimum": 0, "maximum": 1},
        "resumable": {"type": "boolean"},
        "repeatable": {"type": "boolean"},
        "queue": {"type": "integer", "minimum": 0, "maximum": 10_000},
    },
    ["first_piece_ms", "time_left_ms", "urgency", "share"],
)
SERVICE = section(
    {
        "kind": {"enum": ["model", "map", "checkout"]},
        "warm_up_ms": MILLISECONDS,
        "stall_ms": MILLISECONDS,
    },
    ["kind"],
)
ROUTE = section(
    {
        "service": {"type": "string"},
        "class": {"type": "string"},
        "weight": {"type": "number", "exclusiveMinimum": 0, "maximum": 1000},
        "prefix": {"type": "string", "maxLength": 100_000},
    },
    ["service", "class"],
)
COUNT = {"type": "integer", "minimum": 0, "maximum": 1 << 53}
AMOUNT = {"type": "number", "minimum": 0, "maximum": 1 << 53}
TEXT = {"type": "string", "minLength": 1, "maxLength": 2000}
OBJECT = {"type": "object"}
FORWARD_ITEM = {
    "type": "object",
    "additionalProperties": False,
    "required": ["host", "prefix", "kind", "split"],
    "properties": {
        "host": TEXT,
        "prefix": {**TEXT, "pattern": "^/(.*/)?$"},
        "kind": {"enum": ["repeatable", "once", "stream", "lot"]},
        "split": {
            "type": "array",
            "minItems": 1,
            "maxItems": 1000,
            "items": {
                "type": "array",
                "prefixItems": [TEXT, AMOUNT],
                "minItems": 2,
                "maxItems": 2,
            },
        },
        "rounds": {**COUNT, "minimum": 1},
        "hold_ms": {"type": "number", "exclusiveMinimum": 0, "maximum": 1 << 53},
        "goal_ms": AMOUNT,
        "pause_ms": AMOUNT,
        "due_ms": AMOUNT,
        "retain_ms": AMOUNT,
        "urgency": COUNT,
        "most_tokens": AMOUNT,
        "resumable": {"type": "boolean"},
        "engine": {"type": "boolean"},
        "origin": OBJECT,
    },
}
RAW_SERVICE_ITEM = {
    "type": "object",
    "additionalProperties": False,
    "required": ["kind"],
    "properties": {
        "kind": {"const": "raw"},
        "probe_path": TEXT,
        "connections": COUNT,
        "warm_up_ms": AMOUNT,
        "warm_rate": AMOUNT,
        "origin": OBJECT,
        "engine": {
            "type": ["object", "null"],
            "additionalProperties": False,
            "properties": {"slots": COUNT, "kv_tokens": AMOUNT, "stride": AMOUNT},
        },
    },
}
LIMITS_ITEM = {
    "type": "object",
    "additionalProperties": False,
    "properties": {
        "head_bytes": COUNT,
        "body_bytes": COUNT,
        "head_ms": AMOUNT,
        "idle_ms": AMOUNT,
        "origin": OBJECT,
    },
}
FORWARD, RAW_SERVICE, LIMITS, EXTRAS = map(
    StrictValidator, (FORWARD_ITEM, RAW_SERVICE_ITEM, LIMITS_ITEM, OBJECT)
)
STORE = section({"retired": {"type": "boolean"}, "forced": {"type": "boolean"}}, [])
ZONE = section({"emptied": {"type": "boolean"}, "nodes": {"type": "boolean"}}, [])
SERVICES = {
    "type": "object",
    "additionalProperties": {
        "if": {"properties": {"kind": {"const": "raw"}}, "required": ["kind"]},
        "then": RAW_SERVICE_ITEM,
        "else": SERVICE["patternProperties"][NAME],
    },
}
SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["classes", "services", "entries", "domains"],
    "properties": {
        "classes": CLASS,
        "services": SERVICES,
        "entries": ROUTE,
        "domains": ZONE,
        "stores": STORE,
        "edition": COUNT,
        "extras": OBJECT,
        "forwards": {"type": "object", "additionalProperties": FORWARD_ITEM},
        "limits": {"anyOf": [LIMITS_ITEM, {"type": "null"}]},
    },
}
VALIDATOR = StrictValidator(SCHEMA)
EMPTY = {"classes": {}, "services": {}, "entries": {}, "domains": {}}


def find_faults(configuration):
    """Return every reason that speaks against a whole layout."""
    faults = [
        {"field": ".".join(str(s) for s in e.absolute_path) or "layout", "fault": e.message[:200]}
        for e in VALIDATOR.iter_errors(configuration)
    ]
    if faults:
        return sorted(faults, key=lambda fault: fault["field"])
    faults.extend(
        {"field": f"services.{name}", "fault": f"{name!r} does not match {NAME!r}"}
        for name, service in sorted(configuration["services"].items())
        if service["kind"] != "raw" and not re.search(NAME, name)
    )
    for name, route in sorted(configuration["entries"].items()):
        for field, section_name in (("service", "services"), ("class", "classes")):
            if route[field] not in configuration[section_name]:
                faults.append(
                    {
                        "field": f"entries.{name}.{field}",
                        "fault": f"unknown {route[field]}",
                    }
                )
    shares = sum(c["share"] for c in configuration["classes"].values())
    if shares > 1.0001:
        faults.append({"field": "classes", "fault": f"shares add up to {shares:.3f}, over 1"})
    for name, promise in sorted(configuration["classes"].items()):
        if promise["first_piece_ms"] > promise["time_left_ms"]:
            faults.append(
                {
                    "field": f"classes.{name}.first_piece_ms",
                    "fault": "longer than time_left_ms",
                }
            )
    if configuration["domains"] and all(
        d.get("emptied") and d.get("nodes", True) for d in configuration["domains"].values()
    ):
        faults.append({"field": "domains", "fault": "every domain would be emptied"})
    return faults


def item_faults(section, validator, items):
    """Return what speaks against named items, each by itself."""
    return [
        {
            "field": ".".join([section, name, *map(str, error.absolute_path)]),
            "fault": error.message[:200],
        }
        for name, item in items.items()
        for error in validator.iter_errors(item)
    ]


def merge(configuration, change):
    """Return the layout with a partial one laid over it; null takes a name away."""
    if not isinstance(change, dict) or not isinstance(configuration, dict):
        return change
    merged = {
        name: merge(configuration.get(name), value)
        if name in configuration
        else without_nulls(value)
        for name, value in change.items()
        if value is not None
    }
    return {**{n: v for n, v in configuration.items() if n not in change}, **merged}


def without_nulls(value):
    """Return the value with nulls taken out of its objects."""
    if not isinstance(value, dict):
        return value
    return {n: without_nulls(v) for n, v in value.items() if v is not None}
