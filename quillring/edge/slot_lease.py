"""Leases of replica slots, and requests queued for a lease."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.classes.class_terms import may_fail_over
from quillring.kernel.effects import Signal

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quillring.edge.dispatcher import Dispatcher
    from quillring.edge.replicas import Replica


class SlotLease:
    """The right to run one request in a slot of a replica until it is released.

    `is_preempted` asks the holder to release it after the current piece. `may_still_run` is True
    while the replica may be running the request; releasing the lease might not stop it.
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
        """Release the slot; repeated calls do nothing.

        On a cold replica, release it with a delay if the request may still run.
        """
        if not self.is_held:
            return
        self.is_held = False
        if self.may_still_run and self.replica.state == "cold":
            self.dispatcher.node.spawn(self.dispatcher.release_later(self))
        else:
            self.dispatcher.release(self)


class QueuedRequest:
    """A request queued for a slot; `signal` is set to its SlotLease or to a Refused.

    `priority` sorts the queue by urgency, highest first, then by order of arrival.
    """

    __slots__ = (
        "urgency",
        "priority",
        "service",
        "prefix",
        "excluded_names",
        "signal",
        "class_name",
        "is_preemptible",
        "deadline",
    )

    def __init__(
        self,
        terms: dict[str, Any],
        arrival_number: int,
        service: str,
        prefix: str,
        excluded_names: Iterable[str],
        class_name: str,
        is_preemptible: bool,
        deadline: float,
    ) -> None:
        self.urgency: int = terms["urgency"]
        self.priority = (-self.urgency, arrival_number)
        self.service = service
        self.prefix = prefix
        self.excluded_names = frozenset(excluded_names)
        self.class_name = class_name
        self.is_preemptible: bool = is_preemptible and may_fail_over(terms, True)
        self.deadline = deadline
        self.signal = Signal()
