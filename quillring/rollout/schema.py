"""The JSON schema of configurations, and the checks between its sections."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from quillring.kernel.checks import StrictValidator
from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any

    from quillring.kernel.types import WireMap

    JsonSchema = dict[str, Any]

NAME = "^[a-z][a-z0-9_-]{0,40}$"
MILLISECONDS = {"type": "integer", "minimum": 1, "maximum": 86_400_000}


def section(properties: JsonSchema, required: list[str]) -> JsonSchema:
    """Return the schema of a section: {name: object of these properties, or null to remove it}."""
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
EMPTY: WireMap = {"classes": {}, "services": {}, "entries": {}, "domains": {}}


MAX_FAULT_CHARACTERS = 200
MAX_SHARE_SUM = 1.0001


class Fault(NamedTuple):
    """One reason against a configuration: the field, as a dotted path, and what is wrong."""

    field: str
    reason: str

    def to_wire(self) -> WireMap:
        """Return the fault in the form of the error's `faults`."""
        return {"field": self.field, "fault": self.reason}


def find_faults(configuration: Any) -> list[Fault]:
    """Return every fault of a complete configuration."""
    faults = [
        Fault(
            ".".join(str(step) for step in error.absolute_path) or "layout",
            error.message[:MAX_FAULT_CHARACTERS],
        )
        for error in VALIDATOR.iter_errors(configuration)
    ]
    if faults:
        return sorted(faults, key=lambda fault: fault.field)
    return [
        *service_name_faults(configuration["services"]),
        *route_faults(configuration),
        *class_faults(configuration["classes"]),
        *zone_faults(configuration["domains"]),
    ]


def service_name_faults(services: WireMap) -> list[Fault]:
    """Return the faults of the names of services, those of kind `raw` excepted."""
    return [
        Fault(f"services.{name}", f"{name!r} does not match {NAME!r}")
        for name, service in sorted(services.items())
        if service["kind"] != "raw" and not re.search(NAME, name)
    ]


def route_faults(configuration: WireMap) -> list[Fault]:
    """Return a fault for each unknown service or class that a route names."""
    faults = []
    for name, route in sorted(configuration["entries"].items()):
        for field, section_name in (("service", "services"), ("class", "classes")):
            if route[field] not in configuration[section_name]:
                faults.append(Fault(f"entries.{name}.{field}", f"unknown {route[field]}"))
    return faults


def class_faults(classes: WireMap) -> list[Fault]:
    """Return the faults of the classes of service, each on its own and their sum of shares."""
    faults = []
    shares = sum(terms["share"] for terms in classes.values())
    if shares > MAX_SHARE_SUM:
        faults.append(Fault("classes", f"shares add up to {shares:.3f}, over 1"))
    for name, terms in sorted(classes.items()):
        if terms["first_piece_ms"] > terms["time_left_ms"]:
            faults.append(Fault(f"classes.{name}.first_piece_ms", "longer than time_left_ms"))
    return faults


def zone_faults(zones: WireMap) -> list[Fault]:
    """Return a fault if every zone would be drained, nodes included."""
    if zones and all(zone.get("emptied") and zone.get("nodes", True) for zone in zones.values()):
        return [Fault("domains", "every domain would be emptied")]
    return []


def item_faults(section: str, validator: StrictValidator, items: Mapping[str, Any]) -> list[Fault]:
    """Return the faults of named items, each validated on its own."""
    return [
        Fault(
            ".".join([section, name, *map(str, error.absolute_path)]),
            error.message[:MAX_FAULT_CHARACTERS],
        )
        for name, item in items.items()
        for error in validator.iter_errors(item)
    ]


def merge(configuration: Any, change: Any) -> Any:
    """Return the configuration with a partial one merged in; null removes a name.

    Like JSON Merge Patch (RFC 7396), but nulls stay in an object that replaces a non-object.
    """
    if not isinstance(change, dict) or not isinstance(configuration, dict):
        return change
    merged = {name: value for name, value in configuration.items() if name not in change}
    for name, value in change.items():
        if value is None:
            continue
        if name in configuration:
            merged[name] = merge(configuration[name], value)
        else:
            merged[name] = without_nulls(value)
    return merged


def without_nulls(value: Any) -> Any:
    """Return the value without the null members of its objects, at any depth of objects."""
    if not isinstance(value, dict):
        return value
    return {name: without_nulls(item) for name, item in value.items() if item is not None}
