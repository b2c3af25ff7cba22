"""A `NamedTuple` base for typed records whose classes are cheap to define.

`typing.NamedTuple` compiles the annotation of each field when a class is defined, which costs more
than half of its 0.28 ms. A process defines nearly two hundred such classes when it starts, and
nodes start on weak cores. This one defines the same classes by `collections.namedtuple` and leaves
the annotations as text; type checkers see `typing.NamedTuple`.
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
        """Base of records: annotated fields in order; an assigned value is a default."""
