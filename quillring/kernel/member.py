"""The description of a node that is exchanged between peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.types import Address

FIELDS = ("name", "incarnation", "role", "zone", "host", "port", "http_port", "identity")
"""The fields of a member in their order on the wire."""
JSON_NAMES = {"zone": "domain"}
"""Fields whose released name in the public list of members differs from the attribute."""


class Member:
    """A node of the fleet as its peers know it.

    Attributes
    ----------
    name : name of the node, unique in the fleet
    incarnation : number that increases with each start of the node's process
    role : "edge", "core" or "store"
    zone : availability zone (failure domain) of the node's machine
    host, port : address for heartbeats and messages
    http_port : port of its HTTP interface on the same host
    identity : identifier of a store's data folder, "" if the node is not a store
    """

    __slots__ = FIELDS

    def __init__(
        self,
        name: str,
        incarnation: int,
        role: str,
        zone: str,
        host: str,
        port: int,
        http_port: int,
        identity: str,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.role = role
        self.zone = zone
        self.host = host
        self.port = port
        self.http_port = http_port
        self.identity = identity

    @property
    def address(self) -> Address:
        """Return the (host, port) for heartbeats and messages."""
        return self.host, self.port

    def to_list(self) -> list[Any]:
        """Return the fields in their order on the wire."""
        return [getattr(self, slot) for slot in FIELDS]

    def restarted(self, incarnation: int) -> Member:
        """Return a copy of the member with another incarnation."""
        return Member(self.name, incarnation, *self.to_list()[2:])

    def to_json(self) -> dict[str, Any]:
        """Return the fields by name, as in the public list of members."""
        return {JSON_NAMES.get(slot, slot): getattr(self, slot) for slot in FIELDS}

    @classmethod
    def from_list(cls, fields: list[Any]) -> Member:
        """Return the member for a list of fields received over the wire.

        Raises
        ------
        ValueError
            The list has too few or too many fields.
        TypeError
            A field has the wrong type.
        """
        if len(fields) != len(FIELDS):
            raise ValueError("wrong number of member fields")
        text_fields = (fields[0], fields[2], fields[3], fields[4], fields[7])
        number_fields = (fields[1], fields[5], fields[6])
        if not all(isinstance(f, str) for f in text_fields):
            raise TypeError("a text field of a member is not a string")
        if not all(isinstance(f, int) for f in number_fields):
            raise TypeError("a numeric field of a member is not an integer")
        return cls(*fields)
