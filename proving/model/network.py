"""The network of a model: every message that was sent and not yet taken, each named by a number."""

from typing import NamedTuple

import cbor2

from quillring.kernel.node import CALL_NUMBER_BITS

CALL_MASK = (1 << CALL_NUMBER_BITS) - 1
REQUEST, CAST, ANSWER = "request", "cast", "answer"
TOLD_FIELDS = ("ballot", "index", "committed")


class Message(NamedTuple):
    """One message: the ends, the bytes, its kind, and how a trace calls it."""

    origin: str
    target: str
    data: bytes
    kind: str
    call: int | None
    text: str


class Messages:
    """The table of all distinct messages."""

    def __init__(self):
        self.numbers = {}
        self.table = []

    def number(self, origin, target, data):
        """Return the number of a message."""
        key = (origin, target, data)
        number = self.numbers.get(key)
        if number is None:
            number = self.numbers[key] = len(self.table)
            self.table.append(read_message(*key))
        return number

    def __getitem__(self, number):
        return self.table[number]


def read_message(origin, target, data):
    """Return a message with its kind and its text."""
    fields = cbor2.loads(data)
    if "r" in fields:
        text = (
            f"{origin} > {target} answer {fields['r'] & CALL_MASK} {fields.get('t') or ''}".rstrip()
        )
        return Message(origin, target, data, ANSWER, fields["r"], text)
    body = fields["b"] if isinstance(fields["b"], dict) else {}
    told = " ".join(f"{name}={_told(body[name])}" for name in TOLD_FIELDS if name in body)
    kind = CAST if fields.get("c") is None else REQUEST
    call = "" if kind == CAST else f" call {fields['c'] & CALL_MASK}"
    text = f"{origin} > {target} {fields['s']} {told}".rstrip() + call
    return Message(origin, target, data, kind, fields.get("c"), text)


def _told(value):
    return ".".join(map(str, value)) if isinstance(value, list) else value
