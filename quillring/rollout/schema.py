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

NAME_PATTERN = "^[a-z][a-z0-9_-]{0,40}$"
MILLISECONDS_SCHEMA = {"type": "integer", "minimum": 1, "maximum": 86_400_000}


def section_schema(properties: JsonSchema, required: list[str]) -> JsonSchema:
    """Return the schema of a section: {name: object with these properties}."""
    return {
        "type": "object",
        "additionalProperties": False,
        "patternProperties": {
            NAME_PATTERN: {
                "type": "object",
                "additionalProperties": False,
                "properties": properties,
                "required": required,
            }
        },
    }


CLASSES_SCHEMA = section_schema(
    {
        "first_piece_ms": MILLISECONDS_SCHEMA,
        "time_left_ms": MILLISECONDS_SCHEMA,
        "urgency": {"type": "integer", "minimum": 1, "maximum": 9},
        "share": {"type": "number", "minimum": 0, "maximum": 1},
        "resumable": {"type": "boolean"},
        "repeatable": {"type": "boolean"},
        "queue": {"type": "integer", "minimum": 0, "maximum": 10_000},
    },
    ["first_piece_ms", "time_left_ms", "urgency", "share"],
)
SERVICE_SECTION_SCHEMA = section_schema(
    {
        "kind": {"enum": ["model", "map", "checkout"]},
        "warm_up_ms": MILLISECONDS_SCHEMA,
        "stall_ms": MILLISECONDS_SCHEMA,
    },
    ["kind"],
)
ROUTES_SCHEMA = section_schema(
    {
        "service": {"type": "string"},
        "class": {"type": "string"},
        "weight": {"type": "number", "exclusiveMinimum": 0, "maximum": 1000},
        "prefix": {"type": "string", "maxLength": 100_000},
    },
    ["service", "class"],
)
COUNT_SCHEMA = {"type": "integer", "minimum": 0, "maximum": 1 << 53}
AMOUNT_SCHEMA = {"type": "number", "minimum": 0, "maximum": 1 << 53}
TEXT_SCHEMA = {"type": "string", "minLength": 1, "maxLength": 2000}
OBJECT_SCHEMA = {"type": "object"}
FORWARD_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["host", "prefix", "kind", "split"],
    "properties": {
        "host": TEXT_SCHEMA,
        "prefix": {**TEXT_SCHEMA, "pattern": "^/(.*/)?$"},
        "kind": {"enum": ["repeatable", "once", "stream", "lot"]},
        "split": {
            "type": "array",
            "minItems": 1,
            "maxItems": 1000,
            "items": {
                "type": "array",
                "prefixItems": [TEXT_SCHEMA, AMOUNT_SCHEMA],
                "minItems": 2,
                "maxItems": 2,
            },
        },
        "rounds": {**COUNT_SCHEMA, "minimum": 1},
        "hold_ms": {"type": "number", "exclusiveMinimum": 0, "maximum": 1 << 53},
        "goal_ms": AMOUNT_SCHEMA,
        "pause_ms": AMOUNT_SCHEMA,
        "due_ms": AMOUNT_SCHEMA,
        "retain_ms": AMOUNT_SCHEMA,
        "urgency": COUNT_SCHEMA,
        "most_tokens": AMOUNT_SCHEMA,
        "resumable": {"type": "boolean"},
        "engine": {"type": "boolean"},
        "origin": OBJECT_SCHEMA,
    },
}
RAW_SERVICE_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["kind"],
    "properties": {
        "kind": {"const": "raw"},
        "probe_path": TEXT_SCHEMA,
        "connections": COUNT_SCHEMA,
        "warm_up_ms": AMOUNT_SCHEMA,
        "warm_rate": AMOUNT_SCHEMA,
        "origin": OBJECT_SCHEMA,
        "engine": {
            "type": ["object", "null"],
            "additionalProperties": False,
            "properties": {
                "slots": COUNT_SCHEMA,
                "kv_tokens": AMOUNT_SCHEMA,
                "stride": AMOUNT_SCHEMA,
            },
        },
    },
}
LIMITS_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "properties": {
        "head_bytes": COUNT_SCHEMA,
        "body_bytes": COUNT_SCHEMA,
        "head_ms": AMOUNT_SCHEMA,
        "idle_ms": AMOUNT_SCHEMA,
        "origin": OBJECT_SCHEMA,
    },
}
FORWARD_VALIDATOR, RAW_SERVICE_VALIDATOR, LIMITS_VALIDATOR, EXTRAS_VALIDATOR = map(
    StrictValidator, (FORWARD_SCHEMA, RAW_SERVICE_SCHEMA, LIMITS_SCHEMA, OBJECT_SCHEMA)
)
STORES_SCHEMA = section_schema({"retired": {"type": "boolean"}, "forced": {"type": "boolean"}}, [])
ZONES_SCHEMA = section_schema({"emptied": {"type": "boolean"}, "nodes": {"type": "boolean"}}, [])
SERVICES_SCHEMA = {
    "type": "object",
    "additionalProperties": {
        "if": {"properties": {"kind": {"const": "raw"}}, "required": ["kind"]},
        "then": RAW_SERVICE_SCHEMA,
        "else": SERVICE_SECTION_SCHEMA["patternProperties"][NAME_PATTERN],
    },
}
SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["classes", "services", "entries", "domains"],
    "properties": {
        "classes": CLASSES_SCHEMA,
        "services": SERVICES_SCHEMA,
        "entries": ROUTES_SCHEMA,
        "domains": ZONES_SCHEMA,
        "stores": STORES_SCHEMA,
        "edition": COUNT_SCHEMA,
        "extras": OBJECT_SCHEMA,
        "forwards": {"type": "object", "additionalProperties": FORWARD_SCHEMA},
        "limits": {"anyOf": [LIMITS_SCHEMA, {"type": "null"}]},
    },
}
VALIDATOR = StrictValidator(SCHEMA)
EMPTY_CONFIGURATION: WireMap = {"classes": {}, "services": {}, "entries": {}, "domains": {}}


MAX_FAULT_CHARACTERS = 200
MAX_SHARE_SUM = 1.0001


class Fault(NamedTuple):
    """One fault of a configuration: the field as a dotted path, and the reason."""

    field: str
    reason: str

    def to_wire(self) -> WireMap:
        """Return the fault in the form of the error's `faults`."""
        return {"field": self.field, "fault": self.reason}


def find_faults(configuration: Any) -> list[Fault]:
    """Return every fault of a complete configuration, or an empty list if it is valid."""
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
    """Return the faults of service names; services of kind `raw` are exempt."""
    return [
        Fault(f"services.{name}", f"{name!r} does not match {NAME_PATTERN!r}")
        for name, service in sorted(services.items())
        if service["kind"] != "raw" and not re.search(NAME_PATTERN, name)
    ]


def route_faults(configuration: WireMap) -> list[Fault]:
    """Return a fault for each unknown service or class that a route refers to."""
    faults = []
    for name, route in sorted(configuration["entries"].items()):
        for field, section_name in (("service", "services"), ("class", "classes")):
            if route[field] not in configuration[section_name]:
                faults.append(Fault(f"entries.{name}.{field}", f"unknown {route[field]}"))
    return faults


def class_faults(classes: WireMap) -> list[Fault]:
    """Return the faults of each class of service, and of the sum of their shares."""
    faults = []
    share_sum = sum(service_class["share"] for service_class in classes.values())
    if share_sum > MAX_SHARE_SUM:
        faults.append(Fault("classes", f"shares add up to {share_sum:.3f}, over 1"))
    for name, service_class in sorted(classes.items()):
        if service_class["first_piece_ms"] > service_class["time_left_ms"]:
            faults.append(Fault(f"classes.{name}.first_piece_ms", "longer than time_left_ms"))
    return faults


def zone_faults(zones: WireMap) -> list[Fault]:
    """Return a fault if every zone would be drained, nodes included."""
    if zones and all(zone.get("emptied") and zone.get("nodes", True) for zone in zones.values()):
        return [Fault("domains", "every domain would be emptied")]
    return []


def item_faults(section: str, validator: StrictValidator, items: Mapping[str, Any]) -> list[Fault]:
    """Return the faults of named items, each validated separately."""
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

    As in JSON Merge Patch (RFC 7396), except that nulls remain in an object that replaces a
    non-object.
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
    """Return the value without null members in its objects, at any depth."""
    if not isinstance(value, dict):
        return value
    return {name: without_nulls(item) for name, item in value.items() if item is not None}
