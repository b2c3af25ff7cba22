"""Checks of what comes in from outside: strict schemas, sound JSON, counts."""

import json
import math

import jsonschema

from quillring.kernel.errors import BadRequest

DEPTH_LIMIT = 32
DIGITS = 9


def is_integer(checker, value):
    """Tell whether a value is a whole number and written as one."""
    return isinstance(value, int) and not isinstance(value, bool)


def is_number(checker, value):
    """Tell whether a value is a finite number."""
    return is_integer(checker, value) or (isinstance(value, float) and math.isfinite(value))


StrictValidator = jsonschema.validators.extend(
    jsonschema.Draft202012Validator,
    type_checker=jsonschema.Draft202012Validator.TYPE_CHECKER.redefine_many(
        {"integer": is_integer, "number": is_number}
    ),
)


def refuse_constant(name):
    """Refuse NaN and the infinities, which are no JSON."""
    raise ValueError(name)


def read_float(text):
    """Return the finite number of a text."""
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(text)
    return number


def parse_json(data):
    """Return the value of UTF-8 JSON text; whatever is not sound raises ValueError."""
    text = data.decode("utf-8") if isinstance(data, bytes) else data
    try:
        value = json.loads(text, parse_constant=refuse_constant, parse_float=read_float)
        if "\\ud" in text.lower():
            json.dumps(value, ensure_ascii=False).encode("utf-8")
    except RecursionError as error:
        raise ValueError("too deep") from error
    check_depth(value)
    return value


def check_depth(value):
    """Raise ValueError for a value nested deeper than anything sound is."""
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


def read_count(text, field):
    """Return the count that a text of few digits names."""
    if not (text.isascii() and text.isdigit() and len(text) <= DIGITS):
        raise BadRequest(field=field, faults=[{"field": field, "fault": "not a count"}])
    return int(text)
