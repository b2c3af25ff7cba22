"""Canonical forms of running state machines, so that equal states are explored only once.

A suspended coroutine is described by its position, its local variables and the coroutine that it
waits for. The iterator of a `for` loop is not a local variable; the loop variable and the number of
calls made so far represent it. A form that left out part of the state would prune states that
differ. It could not cause a false alarm, as every reported trace is run on the real machines.
"""

import hashlib
import marshal
from collections import deque
from types import CellType, FunctionType, GeneratorType, MethodType

from quillring.kernel.errors import QuillringError
from quillring.kernel.node import Node

MARSHAL_VERSION = 0
SCALAR_TYPES = (type(None), bool, int, float, str, bytes)


class Canonicalizer:
    """Turns an object graph into nested tuples; a repeated object is represented by its number.

    Visited objects are retained so that their `id` is not reused.
    """

    def __init__(self, opaque):
        self.opaque = opaque
        self.numbers = {}
        self.retained_objects = []

    def freeze(self, value):
        """Return the canonical form of a value."""
        if isinstance(value, SCALAR_TYPES):
            return value
        if isinstance(value, (list, tuple, dict)):
            try:
                return marshal.dumps(value, MARSHAL_VERSION)
            except ValueError:
                pass
        if isinstance(value, (list, tuple, deque)):
            return ("list", *map(self.freeze, value))
        if isinstance(value, dict):
            return ("dict", *((self.freeze(k), self.freeze(v)) for k, v in value.items()))
        if isinstance(value, (set, frozenset)):
            return ("set", *sorted(map(repr, map(self.freeze, value))))
        if isinstance(value, QuillringError):
            return ("error", value.kind, self.freeze(value.detail))
        if isinstance(value, type):
            return ("type", value.__name__)
        return self._freeze_object(value)

    def _freeze_object(self, value):
        number = self.numbers.get(id(value))
        if number is not None:
            return ("again", number)
        self.numbers[id(value)] = len(self.numbers)
        self.retained_objects.append(value)
        opaque_form = self.opaque(value)
        if opaque_form is not None:
            return opaque_form
        if isinstance(value, GeneratorType):
            return self._freeze_coroutine(value)
        if isinstance(value, FunctionType):
            cells = [cell.cell_contents for cell in value.__closure__ or ()]
            return ("function", value.__qualname__, self.freeze(cells))
        if isinstance(value, MethodType):
            return ("method", value.__name__, self.freeze(value.__self__))
        if isinstance(value, CellType):
            return ("cell", self.freeze(value.cell_contents))
        if isinstance(value, Node):
            return ("node", value.me.name)
        return ("object", type(value).__name__, *self._freeze_fields(value))

    def _freeze_fields(self, value):
        names = [n for kind in type(value).__mro__ for n in getattr(kind, "__slots__", ())]
        names += getattr(value, "__dict__", {})
        for name in names:
            if name not in ("watchers", "__weakref__") and hasattr(value, name):
                yield name, self.freeze(getattr(value, name))

    def _freeze_coroutine(self, coroutine):
        frame = coroutine.gi_frame
        if frame is None:
            return ("ended", coroutine.__qualname__)
        locals_form = tuple((name, self.freeze(v)) for name, v in frame.f_locals.items())
        inner = coroutine.gi_yieldfrom
        position = (coroutine.__qualname__, frame.f_lasti)
        return ("coroutine", *position, locals_form, self.freeze(inner))


def digest_of(form):
    """Return a short digest of a canonical form."""
    return hashlib.blake2b(marshal.dumps(form, MARSHAL_VERSION), digest_size=12).digest()
