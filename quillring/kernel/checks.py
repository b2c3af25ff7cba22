"""Validation of external input: JSON with bounded depth, strict JSON schemas, counts."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING

from quillring.kernel.errors import BadRequest
from quillring.kernel.lazy import lazy_module
from quillring.kernel.plain_schema import is_certainly_valid, is_integer, is_number

if TYPE_CHECKING:
    from collections.abc import Iterator
    from typing import Any

jsonschema = lazy_module("jsonschema")

MAX_JSON_DEPTH = 32
MAX_COUNT_DIGITS = 9


class StrictValidator:
    """Validator for one JSON schema; calls `jsonschema` only if the fast check does not accept.

    Strict means that 1.0 and booleans are not integers, and that numbers are finite.
    """

    __slots__ = ("schema",)
    validator_class: Any = None

    def __init__(self, schema: Any) -> None:
        self.schema = schema

    def iter_errors(self, value: Any) -> Iterator[Any]:
        """Return an iterator over the validation errors of a value."""
        if is_certainly_valid(self.schema, value):
            return iter(())
        faults: Iterator[Any] = self.get_validator_class()(self.schema).iter_errors(value)
        return faults

    @classmethod
    def get_validator_class(cls) -> Any:
        """Return the cached `jsonschema` validator class with strict number types."""
        if cls.validator_class is None:
            library_class = jsonschema.Draft202012Validator
            types = {"integer": is_integer, "number": is_number}
            cls.validator_class = jsonschema.validators.extend(
                library_class, type_checker=library_class.TYPE_CHECKER.redefine_many(types)
            )
        return cls.validator_class


def reject_constant(name: str) -> None:
    """Raise ValueError for NaN and the infinities, which RFC 8259 excludes from JSON."""
    raise ValueError(f"{name} is not a JSON value")


def read_float(text: str) -> float:
    """Return the float that a text denotes; raise ValueError if it is not finite."""
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"{text} is not a finite number")
    return number


def parse_json(data: bytes | str) -> Any:
    """Return the value of UTF-8 JSON text (RFC 8259).

    Raises ValueError if the text is malformed, is nested too deep, or has an escaped surrogate
    without its pair, which UTF-8 cannot encode.
    """
    text = data.decode("utf-8") if isinstance(data, bytes) else data
    try:
        value = json.loads(text, parse_constant=reject_constant, parse_float=read_float)
        if "\\ud" in text.lower():
            json.dumps(value, ensure_ascii=False).encode("utf-8")
    except RecursionError as error:
        raise ValueError("too deep") from error
    check_depth(value)
    return value


def check_depth(value: Any) -> None:
    """Raise ValueError for a value nested deeper than MAX_JSON_DEPTH."""
    level = [value]
    for _ in range(MAX_JSON_DEPTH):
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
    """Return the integer of a text of 1 to MAX_COUNT_DIGITS digits; raise BadRequest otherwise."""
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_COUNT_DIGITS):
        raise BadRequest(field=field, faults=[{"field": field, "fault": "not a count"}])
    return int(text)
