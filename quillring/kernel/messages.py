"""The messages of remote calls between nodes, and their wire format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.types import WireMap


class CallRequest(NamedTuple):
    """The request of a call to a service of another node.

    Attributes
    ----------
    service : name of the service
    body : argument of its handler
    call_id : id that the reply must have, opaque to the receiver; None for a one-way message
    """

    service: str
    body: Any
    call_id: Any = None

    @classmethod
    def from_wire(cls, message: WireMap) -> CallRequest:
        """Return the request of a message; KeyError if a field is missing."""
        return cls(message["s"], message["b"], message.get("c"))

    def to_wire(self) -> WireMap:
        """Return the message of the request."""
        if self.call_id is None:
            return {"s": self.service, "b": self.body}
        return {"s": self.service, "b": self.body, "c": self.call_id}


class CallReply(NamedTuple):
    """The outcome of a call.

    Attributes
    ----------
    call_id : id of the call, copied from its request
    body : return value of the handler, or the detail of its error
    error_kind : kind of the error that the handler raised, None if it returned
    """

    call_id: Any
    body: Any
    error_kind: str | None = None

    @classmethod
    def from_wire(cls, message: WireMap) -> CallReply:
        """Return the reply of a message; KeyError if a field is missing."""
        return cls(message["r"], message["b"], message.get("t"))

    def to_wire(self) -> WireMap:
        """Return the message of the reply."""
        if self.error_kind is None:
            return {"r": self.call_id, "b": self.body}
        return {"r": self.call_id, "t": self.error_kind, "b": self.body}


def is_reply(message: WireMap) -> bool:
    """Return whether a message is a reply, not a request."""
    return "r" in message
