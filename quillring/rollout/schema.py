"""The schema of layouts and the checks that go across its sections."""

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
                "type": "object", "additionalProperties": False,
                "properties": properties, "required": required,
            }
        },
    }


CLASS = section({
    "first_piece_ms": MILLISECONDS,
    "time_left_ms": MILLISECONDS,
    "urgency": {"type": "integer", "minimum": 1, "maximum": 9},
    "share": {"type": "number", "minimum": 0, "maximum": 1},
    "resumable": {"type": "boolean"},
    "repeatable": {"type": "boolean"},
    "queue": {"type": "integer", "minimum": 0, "maximum": 10_000},
}, ["first_piece_ms", "time_left_ms", "urgency", "share"])
SERVICE = section({
    "kind": {"enum": ["model", "map", "checkout"]},
    "warm_up_ms": MILLISECONDS,
    "stall_ms": MILLISECONDS,
}, ["kind"])
ENTRY = section({
    "service": {"type": "string"},
    "class": {"type": "string"},
    "weight": {"type": "number", "exclusiveMinimum": 0, "maximum": 1000},
    "prefix": {"type": "string", "maxLength": 100_000},
}, ["service", "class"])
STORE = section({"retired": {"type": "boolean"}, "forced": {"type": "boolean"}}, [])
DOMAIN = section({"emptied": {"type": "boolean"}}, [])
SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["classes", "services", "entries", "domains"],
    "properties": {
        "classes": CLASS, "services": SERVICE, "entries": ENTRY, "domains": DOMAIN,
        "stores": STORE,
    },
}
VALIDATOR = StrictValidator(SCHEMA)
EMPTY = {"classes": {}, "services": {}, "entries": {}, "domains": {}}


def find_faults(layout):
    """Return every reason that speaks against a whole layout."""
    faults = [
        {"field": ".".join(str(s) for s in e.absolute_path) or "layout", "fault": e.message[:200]}
        for e in VALIDATOR.iter_errors(layout)
    ]
    if faults:
        return sorted(faults, key=lambda fault: fault["field"])
    for name, entry in sorted(layout["entries"].items()):
        for field, sectionName in (("service", "services"), ("class", "classes")):
            if entry[field] not in layout[sectionName]:
                faults.append({
                    "field": f"entries.{name}.{field}", "fault": f"unknown {entry[field]}",
                })
    shares = sum(c["share"] for c in layout["classes"].values())
    if shares > 1.0001:
        faults.append({"field": "classes", "fault": f"shares add up to {shares:.3f}, over 1"})
    for name, promise in sorted(layout["classes"].items()):
        if promise["first_piece_ms"] > promise["time_left_ms"]:
            faults.append({
                "field": f"classes.{name}.first_piece_ms", "fault": "longer than time_left_ms",
            })
    if layout["domains"] and all(d.get("emptied") for d in layout["domains"].values()):
        faults.append({"field": "domains", "fault": "every domain would be emptied"})
    return faults


def merge(layout, change):
    """Return the layout with a partial one laid over it; null takes a name away."""
    if not isinstance(change, dict) or not isinstance(layout, dict):
        return change
    merged = {
        name: merge(layout.get(name), value) if name in layout else without_nulls(value)
        for name, value in change.items()
        if value is not None
    }
    return {**{n: v for n, v in layout.items() if n not in change}, **merged}


def without_nulls(value):
    """Return the value with nulls taken out of its objects."""
    if not isinstance(value, dict):
        return value
    return {n: without_nulls(v) for n, v in value.items() if v is not None}
