"""Admission control: whether this node accepts new requests of any kind."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import Refused

if TYPE_CHECKING:
    from quillring.kernel.node import Node


def check_not_draining(node: Node) -> None:
    """Raise Refused while this node or its zone is being drained."""
    if node.is_draining:
        raise Refused(reason="draining")
    if node.find("layout").is_zone_draining(node.me.zone):
        raise Refused(reason="the domain is emptied", domain=node.me.zone)


def check_admission(node: Node) -> None:
    """Raise Refused while this node is being drained or its configuration may be out of date."""
    check_not_draining(node)
    node.find("freshness").check()
