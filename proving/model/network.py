"""Messages of the modelled network: each distinct message is identified by a number."""

from typing import NamedTuple

import cbor2

from quillring.kernel.node import CALL_NUMBER_BITS

CALL_MASK = (1 << CALL_NUMBER_BITS) - 1
REQUEST, CAST, ANSWER = "request", "cast", "answer"
TRACED_FIELDS = ("ballot", "index", "committed")


class Message(NamedTuple):
    """One message: sender, receiver, bytes, kind, call ID and its text in a trace."""

    origin: str
    target: str
    data: bytes
    kind: str
    call: int | None
    text: str


class MessageTable:
    """The table of all distinct messages sent so far."""

    def __init__(self):
        self.numbers = {}
        self.table = []

    def number(self, origin, target, data):
        """Return the number of a message, adding it to the table if it is new."""
        key = (origin, target, data)
        number = self.numbers.get(key)
        if number is None:
            number = self.numbers[key] = len(self.table)
            self.table.append(read_message(*key))
        return number

    def __getitem__(self, number):
        return self.table[number]


def read_message(origin, target, data):
    """Decode a message and return it with its kind and its text in a trace."""
    fields = cbor2.loads(data)
    if "r" in fields:
        text = (
            f"{origin} > {target} answer {fields['r'] & CALL_MASK} {fields.get('t') or ''}".rstrip()
        )
        return Message(origin, target, data, ANSWER, fields["r"], text)
    body = fields["b"] if isinstance(fields["b"], dict) else {}
    traced_fields = " ".join(
        f"{name}={_format_field(body[name])}" for name in TRACED_FIELDS if name in body
    )
    kind = CAST if fields.get("c") is None else REQUEST
    call = "" if kind == CAST else f" call {fields['c'] & CALL_MASK}"
    text = f"{origin} > {target} {fields['s']} {traced_fields}".rstrip() + call
    return Message(origin, target, data, kind, fields.get("c"), text)


def _format_field(value):
    return ".".join(map(str, value)) if isinstance(value, list) else value
