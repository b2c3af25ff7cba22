"""How many items may run at once: a share of the slots, less while replicas are full."""

import math

from quillring.forward.replica_health import has_missed_heartbeats
from quillring.lots.http_requests.item_executor import BROKEN, NOT_RUN, UNSENT

CALM_SHARE, NEAR_SHARE, LEAST_SHARE = 0.75, 0.85, 0.08
GAIN = 0.05
START_SECONDS = 0.02
LEAST_PORTION = 0.1
MOST_DOUBLINGS = 3
LEFT_ALONE = {NOT_RUN: 0.3, BROKEN: 0.6, UNSENT: 1.0}


class ConcurrencyLimits:
    """The share of each service's slots that lots take, and replicas left alone for a moment."""

    __slots__ = ("node", "shares", "strikes", "alone_until", "next_starts")

    def __init__(self, node):
        self.node = node
        self.shares = {}
        self.strikes = {}
        self.alone_until = {}
        self.next_starts = {}

    def share(self, service, is_near, now):
        """Return the share of a service's slots for lots; it recovers with time."""
        cut, cut_at = self.shares.get(service, (1.0, now))
        factor = min(1.0, cut + GAIN * (now - cut_at))
        return max(LEAST_SHARE, (NEAR_SHARE if is_near else CALM_SHARE) * factor)

    def slots(self, service, now):
        """Return how many slots of a service all lots together may take."""
        share, known = self.share(service, False, now), self.node.find("placement")
        return sum(slots_for(replica, share) for replica in known.replicas(service))

    def note(self, run, outcome, now):
        """Take in how a run ended: a full replica lowers the share, errors in a row give rest."""
        known = self.node.find("replicas").table
        self.strikes = {name: count for name, count in self.strikes.items() if name in known}
        strikes = self.strikes[run.replica] = self.strikes.get(run.replica, 0) + 1
        self.alone_until = {name: until for name, until in self.alone_until.items() if until > now}
        seconds = LEFT_ALONE[outcome] * 2 ** min(strikes - 1, MOST_DOUBLINGS)
        self.alone_until[run.replica] = now + seconds
        if outcome == NOT_RUN:
            cut, cut_at = self.shares.get(run.service, (1.0, now))
            factor = min(1.0, cut + GAIN * (now - cut_at))
            self.shares[run.service] = (max(LEAST_SHARE, factor * 0.9), now)

    def worked(self, run):
        """Take in that a run came to its end."""
        self.strikes.pop(run.replica, None)

    def choose(self, service, ledger, is_near, avoided_names, portion, now):
        """Return the replica with most room for an item, or None when there is none now.

        `portion` is what the ledger's part may take of the slots that lots take.
        """
        placement, replicas = self.node.find("placement"), self.node.find("replicas")
        share = self.share(service, is_near, now)
        patience = self.node.bounds.propagation * 1.5
        known = placement.replicas(service)
        phase = rounding_offsets(known)
        heard = [r for r in known if not has_missed_heartbeats(r, now, patience)] or known
        fit = [
            r
            for r in [r for r in heard if r.name not in avoided_names] or heard
            if ledger.runs_by_replica.get(r.name, 0)
            < portion.room(slots_for(r, share), phase[r.name])
            and self.alone_until.get(r.name, 0) <= now
            and self.next_starts.get(r.name, 0) <= now
            and replicas.may_receive_requests(r)
            and placement.health(r).may_get_request(now)
        ]
        warm = [r for r in fit if not r.is_cold(now)]
        if not warm:
            warm = [r for r in fit[:1] if placement.slow_start.try_acquire(r, now)]
        return min(
            warm,
            default=None,
            key=lambda r: (ledger.runs_by_replica.get(r.name, 0) / r.slots, r.name),
        )

    def started(self, replica, portion, now):
        """Note a start: a replica reads one item's prompt after the other, not all at once."""
        self.next_starts[replica.name] = now + START_SECONDS / max(portion.ratio, LEAST_PORTION)


def slots_for(replica, share):
    """Return how many of a replica's slots all lots together may take."""
    return math.ceil(max(1, replica.slots * share))


def rounding_offsets(replicas):
    """Return {name: a number from 0 to 1}, spread evenly over a service's replicas."""
    names = sorted(replica.name for replica in replicas)
    return {name: place / len(names) for place, name in enumerate(names)}
