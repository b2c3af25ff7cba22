"""Leases of slots at replicas, and the requests queued for one."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.classes.class_terms import may_run_on
from quillring.kernel.effects import Signal

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quillring.edge.dispatcher import Dispatcher
    from quillring.edge.replicas import Replica


class SlotLease:
    """The right to run one request in a slot of a replica, until release or preemption.

    `may_still_run` is True if the replica may still run the request after the lease ends.
    """

    __slots__ = (
        "dispatcher",
        "replica",
        "class_name",
        "urgency",
        "is_preemptible",
        "is_held",
        "is_preempted",
        "may_still_run",
        "acquired_at",
    )

    def __init__(self, dispatcher: Dispatcher, replica: Replica, request: QueuedRequest) -> None:
        self.dispatcher = dispatcher
        self.replica = replica
        self.class_name = request.class_name
        self.urgency = request.urgency
        self.is_preemptible = request.is_preemptible
        self.is_held = True
        self.is_preempted = False
        self.may_still_run = False
        self.acquired_at: float = dispatcher.node.now()

    def release(self) -> None:
        """Release the slot once; at a cold replica with a delay if the request may still run."""
        if not self.is_held:
            return
        self.is_held = False
        if self.may_still_run and self.replica.state == "cold":
            self.dispatcher.node.spawn(self.dispatcher.release_later(self))
        else:
            self.dispatcher.release(self)


class QueuedRequest:
    """One request queued for a slot; `signal` is set with its SlotLease or a Refused.

    `priority` orders the queue: by urgency, highest first, then first in, first out.
    """

    __slots__ = (
        "urgency",
        "priority",
        "service",
        "prefix",
        "avoided_names",
        "signal",
        "class_name",
        "is_preemptible",
        "end_time",
    )

    def __init__(
        self,
        promise: dict[str, Any],
        order: int,
        service: str,
        prefix: str,
        avoided_names: Iterable[str],
        class_name: str,
        is_preemptible: bool,
        end_time: float,
    ) -> None:
        self.urgency: int = promise["urgency"]
        self.priority = (-self.urgency, order)
        self.service = service
        self.prefix = prefix
        self.avoided_names = frozenset(avoided_names)
        self.class_name = class_name
        self.is_preemptible: bool = is_preemptible and may_run_on(promise, True)
        self.end_time = end_time
        self.signal = Signal()
