"""How fast room comes free: what an inquiry that waits may hope for."""

WEIGHT = 1 / 8
SAMPLES = 8
HOPE = 1.2


class Pace:
    """The mean time for which a service's leases were held on this node."""

    __slots__ = ("means", "samples")

    def __init__(self):
        self.means = {}
        self.samples = {}

    def note(self, service, seconds):
        """Take in how long a lease was held."""
        known = self.means.get(service, seconds)
        self.means = {**self.means, service: known + (seconds - known) * WEIGHT}
        self.samples[service] = self.samples.get(service, 0) + 1

    def expected_wait(self, waiter, waiting, leases, limit, slots):
        """Return the least seconds until the waiter's turn, or None when that is not known.

        Counted are those before it, less the borrowers that pause for it, over the room that its
        class has here; a guess that errs on the side of hope. Slots that are free count as room,
        unless a grant of a core says how much of it is this class's.
        """
        if self.samples.get(waiter.service, 0) < SAMPLES:
            return None
        running = [x for x in leases if x.replica.service == waiter.service]
        pausing = sum(x.may_pause and x.urgency < waiter.urgency for x in running)
        before = sum(
            w.service == waiter.service
            and w is not waiter
            and (-w.urgency, w.order) < (-waiter.urgency, waiter.order)
            for w in waiting
        )
        room = max(len(running), slots if limit is None else limit, 1)
        free = max(0, slots - len(running)) if limit is None else 0
        return max(0, before + 1 - pausing - free) / room * self.means[waiter.service] / HOPE
