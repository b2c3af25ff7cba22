"""A fast check of JSON schemas: it accepts most valid values without the library.

Only common keywords are supported. A value that fails here, or a schema with another keyword, is
left to the full validator, which also reports the errors.
"""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sized
    from typing import Any

    Schema = dict[str, Any]
    Rule = Callable[[Any, Any, Schema], bool]
    """`rule(wanted, value, schema)` tells whether a value follows one keyword of a schema."""


def is_integer(checker: object, value: object) -> bool:
    """Return whether a value is an integer, and not a float such as 1.0 or a boolean."""
    return isinstance(value, int) and not isinstance(value, bool)


def is_number(checker: object, value: object) -> bool:
    """Return whether a value is a finite number."""
    return is_integer(checker, value) or (isinstance(value, float) and math.isfinite(value))


TYPES: dict[str, Callable[[Any], bool]] = {
    "object": lambda value: isinstance(value, dict),
    "array": lambda value: isinstance(value, list),
    "string": lambda value: isinstance(value, str),
    "boolean": lambda value: isinstance(value, bool),
    "null": lambda value: value is None,
    "integer": lambda value: is_integer(None, value),
    "number": lambda value: is_number(None, value),
}


def is_surely_sound(schema: Schema, value: Any) -> bool:
    """Return True if a value certainly follows a schema; False means unknown."""
    return all(
        keyword in KEYWORDS and KEYWORDS[keyword](wanted, value, schema)
        for keyword, wanted in schema.items()
    )


def follows_type(wanted: Any, value: Any, schema: Schema) -> bool:
    """Return whether a value has one of the types."""
    names = [wanted] if isinstance(wanted, str) else wanted
    return any(name in TYPES and TYPES[name](value) for name in names)


def follows_enum(wanted: Any, value: Any, schema: Schema) -> bool:
    """Return whether a string is one of those listed; False for other types."""
    return isinstance(value, str) and value in wanted


def follows_properties(wanted: Any, value: Any, schema: Schema) -> bool:
    """Return whether each named property follows its schema."""
    return not isinstance(value, dict) or all(
        is_surely_sound(inner, value[name]) for name, inner in wanted.items() if name in value
    )


def follows_patterns(wanted: Any, value: Any, schema: Schema) -> bool:
    """Return whether each property follows the schema of every pattern its name matches."""
    return not isinstance(value, dict) or all(
        isinstance(name, str)
        and all(
            is_surely_sound(inner, item)
            for pattern, inner in wanted.items()
            if re.search(pattern, name)
        )
        for name, item in value.items()
    )


def follows_additional(wanted: Any, value: Any, schema: Schema) -> bool:
    """Return whether each property that no other keyword covers is allowed."""
    if not isinstance(value, dict):
        return True
    named, patterns = schema.get("properties", {}), schema.get("patternProperties", {})
    return all(
        name in named
        or (
            isinstance(name, str)
            and (
                any(re.search(pattern, name) for pattern in patterns)
                or (isinstance(wanted, dict) and is_surely_sound(wanted, item))
            )
        )
        for name, item in value.items()
    )


def follows_items(wanted: Any, value: Any, schema: Schema) -> bool:
    """Return whether each item after those of `prefixItems` follows the schema."""
    return not isinstance(value, list) or all(
        is_surely_sound(wanted, item) for item in value[len(schema.get("prefixItems", ())) :]
    )


def follows_places(wanted: Any, value: Any, schema: Schema) -> bool:
    """Return whether the first items of a list follow their schemas (`prefixItems`)."""
    return not isinstance(value, list) or all(
        is_surely_sound(inner, item) for inner, item in zip(wanted, value)
    )


def number_rule(holds: Callable[[Any, Any], bool]) -> Rule:
    """Return the rule of a keyword that bounds a number."""
    return lambda wanted, value, schema: not is_number(None, value) or holds(value, wanted)


def size_rule(kind: type[Sized], holds: Callable[[int, Any], bool]) -> Rule:
    """Return the rule of a keyword that bounds the length of a string or list."""
    return lambda wanted, value, schema: not isinstance(value, kind) or holds(len(value), wanted)


KEYWORDS: dict[str, Rule] = {
    "description": lambda wanted, value, schema: True,
    "type": follows_type,
    "enum": follows_enum,
    "const": lambda wanted, value, schema: isinstance(value, str) and value == wanted,
    "pattern": lambda wanted, value, schema: (
        not isinstance(value, str) or re.search(wanted, value) is not None
    ),
    "required": lambda wanted, value, schema: (
        not isinstance(value, dict) or all(name in value for name in wanted)
    ),
    "properties": follows_properties,
    "patternProperties": follows_patterns,
    "additionalProperties": follows_additional,
    "items": follows_items,
    "prefixItems": follows_places,
    "minimum": number_rule(lambda value, wanted: value >= wanted),
    "maximum": number_rule(lambda value, wanted: value <= wanted),
    "exclusiveMinimum": number_rule(lambda value, wanted: value > wanted),
    "minLength": size_rule(str, lambda size, wanted: size >= wanted),
    "maxLength": size_rule(str, lambda size, wanted: size <= wanted),
    "minItems": size_rule(list, lambda size, wanted: size >= wanted),
    "maxItems": size_rule(list, lambda size, wanted: size <= wanted),
}
