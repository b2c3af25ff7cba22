"""A replacement for `typing.NamedTuple` whose subclasses are faster to define.

`typing.NamedTuple` compiles the annotation of each field when a class is defined, which takes more
than half of the 0.28 ms per class. A process defines nearly two hundred such classes at startup,
and nodes may start on slow CPUs. The replacement creates equivalent classes with
`collections.namedtuple` and leaves the annotations as strings; type checkers see
`typing.NamedTuple`.
"""

from __future__ import annotations

from collections import namedtuple
from typing import TYPE_CHECKING, Any

__all__ = ["NamedTuple"]

if TYPE_CHECKING:
    from typing import NamedTuple
else:
    IMPLIED_NAMES = frozenset(("__qualname__", "__module__", "__annotations__"))

    class _RecordType(type):
        """Metaclass that turns each subclass of `NamedTuple` into a named tuple class."""

        def __new__(mcs, name: str, bases: tuple[type, ...], namespace: dict[str, Any]) -> type:
            if not bases:
                return super().__new__(mcs, name, bases, namespace)
            field_names = list(namespace.get("__annotations__", ()))
            defaults = [namespace[field] for field in field_names if field in namespace]
            record = namedtuple(
                name, field_names, defaults=defaults, module=namespace["__module__"]
            )
            record.__qualname__ = namespace["__qualname__"]
            record.__annotations__ = namespace.get("__annotations__", {})
            for attribute, value in namespace.items():
                if attribute not in IMPLIED_NAMES and attribute not in field_names:
                    setattr(record, attribute, value)
            return record

    class NamedTuple(metaclass=_RecordType):
        """Base class of records: annotations define the fields, assigned values their defaults."""
