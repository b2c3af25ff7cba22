"""Fast validation of JSON schemas that accepts most valid values without the `jsonschema` library.

Only common keywords are supported. If a value is not accepted here, or its schema has another
keyword, the full validator decides and reports the errors.
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
    """`rule(expected, value, schema)`: whether a value satisfies a keyword set to `expected`."""


def is_integer(checker: object, value: object) -> bool:
    """Return whether a value is an integer; a float such as 1.0 and a boolean are not."""
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


def is_certainly_valid(schema: Schema, value: Any) -> bool:
    """Return True if a value certainly satisfies a schema; False if that is not known."""
    return all(
        keyword in KEYWORDS and KEYWORDS[keyword](expected, value, schema)
        for keyword, expected in schema.items()
    )


def follows_type(expected: Any, value: Any, schema: Schema) -> bool:
    """Return whether a value has one of the expected types."""
    names = [expected] if isinstance(expected, str) else expected
    return any(name in TYPES and TYPES[name](value) for name in names)


def follows_enum(expected: Any, value: Any, schema: Schema) -> bool:
    """Return whether a value is one of the listed strings; False for values of other types."""
    return isinstance(value, str) and value in expected


def follows_properties(expected: Any, value: Any, schema: Schema) -> bool:
    """Return whether each property listed in the schema satisfies its subschema."""
    return not isinstance(value, dict) or all(
        is_certainly_valid(subschema, value[name])
        for name, subschema in expected.items()
        if name in value
    )


def follows_patterns(expected: Any, value: Any, schema: Schema) -> bool:
    """Return whether each property satisfies the subschemas of all patterns its name matches."""
    return not isinstance(value, dict) or all(
        isinstance(name, str)
        and all(
            is_certainly_valid(subschema, item)
            for pattern, subschema in expected.items()
            if re.search(pattern, name)
        )
        for name, item in value.items()
    )


def follows_additional(expected: Any, value: Any, schema: Schema) -> bool:
    """Return whether each property that no other keyword covers is allowed by this one.

    The other keywords are `properties` and `patternProperties`.
    """
    if not isinstance(value, dict):
        return True
    named, patterns = schema.get("properties", {}), schema.get("patternProperties", {})
    return all(
        name in named
        or (
            isinstance(name, str)
            and (
                any(re.search(pattern, name) for pattern in patterns)
                or (isinstance(expected, dict) and is_certainly_valid(expected, item))
            )
        )
        for name, item in value.items()
    )


def follows_items(expected: Any, value: Any, schema: Schema) -> bool:
    """Return whether each item after those of `prefixItems` satisfies the subschema."""
    return not isinstance(value, list) or all(
        is_certainly_valid(expected, item) for item in value[len(schema.get("prefixItems", ())) :]
    )


def follows_prefix_items(expected: Any, value: Any, schema: Schema) -> bool:
    """Return whether the first items of a list satisfy their subschemas (`prefixItems`)."""
    return not isinstance(value, list) or all(
        is_certainly_valid(subschema, item) for subschema, item in zip(expected, value)
    )


def number_rule(predicate: Callable[[Any, Any], bool]) -> Rule:
    """Return the rule of a keyword that limits the value of a number."""
    return lambda expected, value, schema: not is_number(None, value) or predicate(value, expected)


def size_rule(kind: type[Sized], predicate: Callable[[int, Any], bool]) -> Rule:
    """Return the rule of a keyword that limits the length of a string or list."""
    return lambda expected, value, schema: (
        not isinstance(value, kind) or predicate(len(value), expected)
    )


KEYWORDS: dict[str, Rule] = {
    "description": lambda expected, value, schema: True,
    "type": follows_type,
    "enum": follows_enum,
    "const": lambda expected, value, schema: isinstance(value, str) and value == expected,
    "pattern": lambda expected, value, schema: (
        not isinstance(value, str) or re.search(expected, value) is not None
    ),
    "required": lambda expected, value, schema: (
        not isinstance(value, dict) or all(name in value for name in expected)
    ),
    "properties": follows_properties,
    "patternProperties": follows_patterns,
    "additionalProperties": follows_additional,
    "items": follows_items,
    "prefixItems": follows_prefix_items,
    "minimum": number_rule(lambda value, expected: value >= expected),
    "maximum": number_rule(lambda value, expected: value <= expected),
    "exclusiveMinimum": number_rule(lambda value, expected: value > expected),
    "minLength": size_rule(str, lambda size, expected: size >= expected),
    "maxLength": size_rule(str, lambda size, expected: size <= expected),
    "minItems": size_rule(list, lambda size, expected: size >= expected),
    "maxItems": size_rule(list, lambda size, expected: size <= expected),
}
