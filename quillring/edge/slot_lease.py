"""Leases of room at replicas, and the inquiries that wait for one."""

from quillring.classes.promises import may_run_on
from quillring.kernel.effects import Signal


class Lease:
    """The right to run one inquiry on a replica; its room may be wanted back."""

    __slots__ = (
        "dispatch",
        "replica",
        "class_name",
        "urgency",
        "may_pause",
        "is_held",
        "is_wanted_back",
        "may_run_on",
        "since",
    )

    def __init__(self, dispatch, replica, waiter):
        self.dispatch = dispatch
        self.replica = replica
        self.class_name = waiter.class_name
        self.urgency = waiter.urgency
        self.may_pause = waiter.may_pause
        self.is_held = True
        self.is_wanted_back = False
        self.may_run_on = False
        self.since = dispatch.node.now()

    def release(self):
        """Give the room back, once; a cold replica first gets time to notice a break."""
        if self.is_held:
            self.is_held = False
            if self.may_run_on and self.replica.state == "cold":
                self.dispatch.node.spawn(self.dispatch.give_back_later(self))
            else:
                self.dispatch.give_back(self)


class Waiter:
    """One inquiry that waits for room."""

    __slots__ = (
        "urgency",
        "order",
        "service",
        "prefix",
        "avoided",
        "signal",
        "class_name",
        "may_pause",
        "end_time",
    )

    def __init__(self, promise, order, service, prefix, avoided, class_name, may_pause, end_time):
        self.urgency = promise["urgency"]
        self.order = order
        self.service = service
        self.prefix = prefix
        self.avoided = frozenset(avoided)
        self.class_name = class_name
        self.may_pause = may_pause and may_run_on(promise, True)
        self.end_time = end_time
        self.signal = Signal()
