"""Commands of the config part, and the messages that distribute the configuration to nodes.

Their forms on the wire and in the log are defined only here. On the wire the complete configuration
is named `layout`, a version numbered by the operators `edition`, and a zone `domain`.
"""

from __future__ import annotations

import hashlib
import json
from typing import TYPE_CHECKING, Any

from quillring.kernel.records import NamedTuple
from quillring.quorum.values import group_from_wire, group_to_wire

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quillring.kernel.types import WireMap
    from quillring.quorum.values import Group

ADOPT_CONFIGURATION = "layout.adopt"
ADOPT_VERSION = "edition.adopt"
ORDER_ZONE = "domain.mark"
ORDER_STORE = "store.mark"

READ_CONFIGURATION: WireMap = {"ask": "layout"}
READ_CURRENT_VERSION: WireMap = {"ask": "edition"}
READ_STATE_VERSION: WireMap = {"ask": "version"}

STAMP = "quorum.stamp"
STATE_IMAGE = "quorum.image"
ANNOUNCEMENT = "layout.news"

DIGEST_HEX_DIGITS = 24


class AdoptConfiguration(NamedTuple):
    """`layout.adopt`: adopt a configuration that is based on a version of the config part's state.

    `change` is the complete configuration if `is_complete`, otherwise it is merged into the current
    one.
    """

    id: str
    base_version: int
    change: Any
    is_complete: bool

    @classmethod
    def from_wire(cls, command: WireMap) -> AdoptConfiguration:
        """Read the command from its form in the log."""
        return cls(command["id"], command["base_version"], command["change"], command["whole"])

    def to_wire(self) -> WireMap:
        """Return the command in its form in the log."""
        return {
            "do": ADOPT_CONFIGURATION,
            "id": self.id,
            "base_version": self.base_version,
            "change": self.change,
            "whole": self.is_complete,
        }

    def digest(self) -> str:
        """Return the digest of the change, which does not include its base version."""
        return digest_of_json([self.is_complete, self.change])


class ChangeZone(NamedTuple):
    """`layout.adopt` that drains a single zone or cancels that, based on a version."""

    id: str
    base_version: int
    zone: str
    is_drained: bool

    def to_wire(self) -> WireMap:
        """Return the command in its form in the log."""
        return {
            "do": ADOPT_CONFIGURATION,
            "id": self.id,
            "base_version": self.base_version,
            "whole": False,
            "change": {"domains": {self.zone: {"emptied": self.is_drained}}},
        }


class AdoptVersion(NamedTuple):
    """`edition.adopt`: adopt the operators' version `number`, based on version `base_number`.

    It replaces the base if `is_complete`, otherwise it amends it. `forwards` and `services` are
    {name: item}, `removed` is {section: names to remove}. Limits of None in an amendment leave the
    limits unchanged.
    """

    base_number: int
    number: int
    is_complete: bool
    forwards: Mapping[str, WireMap]
    services: Mapping[str, WireMap]
    limits: WireMap | None
    removed: Mapping[str, list[str]]
    extras: WireMap
    id: str | None = None

    @classmethod
    def from_wire(cls, command: WireMap) -> AdoptVersion:
        """Read the command from its form in the log."""
        return cls(
            command["base_edition"],
            command["edition"],
            command["whole"],
            command["forwards"],
            command["services"],
            command["limits"],
            command["removed"] or {},
            command.get("extras") or {},
            command.get("id"),
        )

    def to_wire(self) -> WireMap:
        """Return the command in its form in the log."""
        command = {
            "do": ADOPT_VERSION,
            "base_edition": self.base_number,
            "edition": self.number,
            "whole": self.is_complete,
            "forwards": self.forwards,
            "services": self.services,
            "limits": self.limits,
            "removed": self.removed,
            "extras": self.extras,
        }
        return command if self.id is None else {**command, "id": self.id}

    def items(self, section: str) -> Mapping[str, WireMap]:
        """Return {name: item} of the section `forwards` or `services`."""
        return self.forwards if section == "forwards" else self.services


class ZoneOrder(NamedTuple):
    """`domain.mark`: drain a zone, or cancel that.

    `includes_nodes` is True to drain the zone's nodes and replicas, False to drain only replicas.
    `seen_version` is the fencing token: the version that the receiving node knew when the order
    arrived, or None for an order without a fence.
    """

    zone: str
    is_drained: bool
    includes_nodes: bool = True
    seen_version: int | None = None

    @classmethod
    def from_wire(cls, command: WireMap) -> ZoneOrder:
        """Read the command from its form in the log."""
        return cls(
            command["domain"],
            bool(command["emptied"]),
            bool(command.get("nodes", True)),
            command.get("seen_version"),
        )

    def to_wire(self) -> WireMap:
        """Return the command in its form in the log."""
        command = {
            "do": ORDER_ZONE,
            "domain": self.zone,
            "emptied": self.is_drained,
            "nodes": self.includes_nodes,
        }
        return with_seen_version(command, self.seen_version)

    def to_state(self) -> WireMap:
        """Return the order in its form in the configuration."""
        return {"emptied": self.is_drained, "nodes": self.includes_nodes}


class StoreOrder(NamedTuple):
    """`store.mark`: retire a store, or cancel that.

    `counted` is {store: zone} of the stores that the submitting node counts as remaining, or None
    to skip the check of their number. `group_size` is the number of stores that replicate each
    part. `seen_version` is the fencing token, as in ZoneOrder.
    """

    store: str
    is_retired: bool
    counted: Mapping[str, str] | None = None
    group_size: int | None = None
    seen_version: int | None = None

    @classmethod
    def from_wire(cls, command: WireMap) -> StoreOrder:
        """Read the command from its form in the log."""
        return cls(
            command["store"],
            bool(command["retired"]),
            command.get("counted"),
            command.get("size"),
            command.get("seen_version"),
        )

    def to_wire(self) -> WireMap:
        """Return the command in its form in the log."""
        command = {"do": ORDER_STORE, "store": self.store, "retired": self.is_retired}
        if self.counted is not None:
            command["counted"] = self.counted
            command["size"] = self.group_size
        return with_seen_version(command, self.seen_version)


def with_seen_version(command: WireMap, seen_version: int | None) -> WireMap:
    """Return an order's wire form with its fencing token, if it has one."""
    return command if seen_version is None else {**command, "seen_version": seen_version}


def digest_of_json(value: Any) -> str:
    """Return the first DIGEST_HEX_DIGITS of a JSON value's SHA-256, regardless of key order."""
    text = json.dumps(value, sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_HEX_DIGITS]


class CurrentConfiguration(NamedTuple):
    """The answer to the query `layout`: the configuration and the version of the state."""

    version: int
    configuration: WireMap | None

    @classmethod
    def from_wire(cls, answer: WireMap) -> CurrentConfiguration:
        """Read the answer from its wire form."""
        return cls(answer["version"], answer["layout"])

    def to_wire(self) -> WireMap:
        """Return the answer in its wire form."""
        return {"version": self.version, "layout": self.configuration}


class CurrentVersion(NamedTuple):
    """The answer to the query `edition`: number (0 if none) and complete configuration."""

    number: int
    configuration: WireMap

    @classmethod
    def from_wire(cls, answer: WireMap) -> CurrentVersion:
        """Read the answer from its wire form."""
        return cls(answer["edition"], answer["layout"])

    def to_wire(self) -> WireMap:
        """Return the answer in its wire form."""
        return {"edition": self.number, "layout": self.configuration}

    def store_order(self, store: str) -> WireMap | None:
        """Return the current order for a store, or None."""
        orders: dict[str, WireMap] = self.configuration.get("stores") or {}
        return orders.get(store)


class ConfigurationRecord(NamedTuple):
    """The gossip record `layout`: the configuration in the config part's state at a log index.

    `group` is the group of stores of the config part, from the same state.
    """

    log_index: int
    version: int
    configuration: WireMap | None
    group: Group

    @classmethod
    def from_wire(cls, fields: list[Any]) -> ConfigurationRecord:
        """Read the record from its wire form."""
        log_index, version, configuration, group = fields
        return cls(log_index, version, configuration, group_from_wire(group))

    def to_wire(self) -> list[Any]:
        """Return the record in its wire form."""
        return [self.log_index, self.version, self.configuration, group_to_wire(self.group)]


class Announcement(NamedTuple):
    """`layout.news`, a one-way message: a configuration record and its gossip version."""

    gossip_version: list[Any]
    record: ConfigurationRecord

    @classmethod
    def from_wire(cls, body: list[Any]) -> Announcement:
        """Read the message from its wire form."""
        gossip_version, record = body
        return cls(gossip_version, ConfigurationRecord.from_wire(record))

    def to_wire(self) -> list[Any]:
        """Return the message in its wire form."""
        return [self.gossip_version, self.record.to_wire()]


class StoreStamp(NamedTuple):
    """A store's position in the config part: promised ballot and highest known committed index.

    `identity` is the incarnation of the store's disk.
    """

    ballot: list[Any]
    committed_index: int
    identity: str

    @classmethod
    def from_wire(cls, fields: list[Any]) -> StoreStamp:
        """Read the stamp from its wire form, as in heartbeats and replies to `quorum.stamp`."""
        ballot, committed_index, identity = fields
        return cls(ballot, committed_index, identity)


class StateImage(NamedTuple):
    """The reply to `quorum.image`: the state of a part and the last log index applied to it."""

    log_index: int
    state: WireMap

    @classmethod
    def from_wire(cls, fields: list[Any]) -> StateImage:
        """Read the reply from its wire form."""
        log_index, state = fields
        return cls(log_index, state)
