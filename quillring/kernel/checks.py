"""Validation of external input: strict JSON schemas, bounded JSON, counts."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING

from quillring.kernel.errors import BadRequest
from quillring.kernel.lazy import lazy_module
from quillring.kernel.plain_schema import is_integer, is_number, is_surely_sound

if TYPE_CHECKING:
    from collections.abc import Iterator
    from typing import Any

jsonschema = lazy_module("jsonschema")

DEPTH_LIMIT = 32
DIGITS = 9


class StrictValidator:
    """A validator of one JSON schema; calls `jsonschema` only when the fast check fails."""

    __slots__ = ("schema",)
    library_class: Any = None

    def __init__(self, schema: Any) -> None:
        self.schema = schema

    def iter_errors(self, value: Any) -> Iterator[Any]:
        """Return the validation errors of a value."""
        if is_surely_sound(self.schema, value):
            return iter(())
        faults: Iterator[Any] = self.make_library_class()(self.schema).iter_errors(value)
        return faults

    @classmethod
    def make_library_class(cls) -> Any:
        """Return the cached `jsonschema` validator class with strict number types."""
        if cls.library_class is None:
            plain_class = jsonschema.Draft202012Validator
            types = {"integer": is_integer, "number": is_number}
            cls.library_class = jsonschema.validators.extend(
                plain_class, type_checker=plain_class.TYPE_CHECKER.redefine_many(types)
            )
        return cls.library_class


def refuse_constant(name: str) -> None:
    """Raise ValueError for NaN and the infinities, which RFC 8259 excludes from JSON."""
    raise ValueError(name)


def read_float(text: str) -> float:
    """Return the finite number that a text denotes; ValueError otherwise."""
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(text)
    return number


def parse_json(data: bytes | str) -> Any:
    """Return the value of UTF-8 JSON text (RFC 8259); ValueError if it is malformed or too deep."""
    text = data.decode("utf-8") if isinstance(data, bytes) else data
    try:
        value = json.loads(text, parse_constant=refuse_constant, parse_float=read_float)
        if "\\ud" in text.lower():
            json.dumps(value, ensure_ascii=False).encode("utf-8")
    except RecursionError as error:
        raise ValueError("too deep") from error
    check_depth(value)
    return value


def check_depth(value: Any) -> None:
    """Raise ValueError for a value nested deeper than DEPTH_LIMIT."""
    level = [value]
    for _ in range(DEPTH_LIMIT):
        level = [
            inner
            for outer in level
            if isinstance(outer, (dict, list))
            for inner in (outer.values() if isinstance(outer, dict) else outer)
            if isinstance(inner, (dict, list))
        ]
        if not level:
            return
    raise ValueError("too deep")


def read_count(text: str, field: str) -> int:
    """Return the integer of a text of at most DIGITS decimal digits; BadRequest otherwise."""
    if not (text.isascii() and text.isdigit() and len(text) <= DIGITS):
        raise BadRequest(field=field, faults=[{"field": field, "fault": "not a count"}])
    return int(text)
