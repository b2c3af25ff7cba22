"""The messages of remote calls between nodes, and their wire format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.types import WireMap


class CallRequest(NamedTuple):
    """A call to a service of another node, or a one-way message to it.

    Attributes
    ----------
    service : name of the service
    body : argument of the service's handler
    call_id : id to copy into the reply, opaque to the receiver; None for a one-way message
    """

    service: str
    body: Any
    call_id: Any = None

    @classmethod
    def from_wire(cls, message: WireMap) -> CallRequest:
        """Decode a request; raise KeyError if a field is missing."""
        return cls(message["s"], message["b"], message.get("c"))

    def to_wire(self) -> WireMap:
        """Return the wire format of the request."""
        if self.call_id is None:
            return {"s": self.service, "b": self.body}
        return {"s": self.service, "b": self.body, "c": self.call_id}


class CallReply(NamedTuple):
    """The reply to a call.

    Attributes
    ----------
    call_id : id of the call, copied from the request
    body : return value of the handler, or the detail fields of its error
    error_kind : kind of the error that the handler raised, None if it succeeded
    """

    call_id: Any
    body: Any
    error_kind: str | None = None

    @classmethod
    def from_wire(cls, message: WireMap) -> CallReply:
        """Decode a reply; raise KeyError if a field is missing."""
        return cls(message["r"], message["b"], message.get("t"))

    def to_wire(self) -> WireMap:
        """Return the wire format of the reply."""
        if self.error_kind is None:
            return {"r": self.call_id, "b": self.body}
        return {"r": self.call_id, "t": self.error_kind, "b": self.body}


def is_reply(message: WireMap) -> bool:
    """Return whether a message on the wire is a reply; otherwise it is a request."""
    return "r" in message
