"""Which replica gets a request: by kept prompt parts, by load, by error, by ramp while cold."""

from quillring.forward.replica_health import View, is_quiet
from quillring.forward.slow_start import Ramp
from quillring.kernel.effects import Signal
from quillring.nifty.graph import score

LONG_PART = 1024
READING_AHEAD = 24_000
OTHER_ZONE = 0.4


class Lease:
    """A request under way at a replica."""

    __slots__ = ("placement", "view", "replica", "tokens", "is_reading", "is_over")

    def __init__(self, placement, view, replica, tokens):
        self.placement = placement
        self.view = view
        self.replica = replica
        self.tokens = tokens
        self.is_reading = True
        self.is_over = False
        view.in_flight += 1
        view.reading += tokens

    def heard(self):
        """Note bytes of the answer: the replica works, and the prompt is read."""
        self.view.heard_at = self.placement.node.now()
        self.view.failures = 0
        self.view.is_on_trial = False
        if self.is_reading:
            self.is_reading = False
            self.view.reading -= self.tokens

    def end(self):
        """Give the place back."""
        if self.is_over:
            return
        self.is_over = True
        self.view.in_flight -= 1
        self.view.is_on_trial = False
        if self.is_reading:
            self.view.reading -= self.tokens
        self.placement.wake()


class Placement:
    """The replicas as this node's own sendings show them, and the choice among them."""

    __slots__ = (
        "node",
        "views",
        "ramp",
        "changed",
        "usable",
        "usable_table",
        "usable_configuration",
    )

    def __init__(self, node):
        self.node = node
        self.views = {}
        self.ramp = Ramp(node)
        self.changed = Signal()
        self.usable = {}
        self.usable_table = self.usable_configuration = None
        node.find("replicas").on_change.append(self.wake)

    def wake(self):
        """Let those look again who wait for a place."""
        if self.changed.watchers:
            changed_signal, self.changed = self.changed, Signal()
            changed_signal.set()

    def view(self, replica):
        """Return what this node's own sendings show of a replica."""
        view = self.views.get(replica.name)
        if view is None:
            known = self.node.find("replicas").table
            self.views = {n: v for n, v in self.views.items() if n in known or v.in_flight}
            view = self.views[replica.name] = View()
        return view

    def replicas(self, service):
        """Return the replicas of a service that may be sent something."""
        replicas, configuration = self.node.find("replicas"), self.node.find("layout").configuration
        if (
            self.usable_table != replicas.table_version
            or self.usable_configuration is not configuration
        ):
            by_service = {}
            for replica in replicas.table.values():
                if replicas.may_be_sent(replica):
                    by_service.setdefault(replica.service, []).append(replica.name)
            self.usable = by_service
            self.usable_table, self.usable_configuration = replicas.table_version, configuration
        return [replicas.table[name] for name in self.usable.get(service, ())]

    def choose(self, service, request, avoided_names=(), may_send_cold=True):
        """Return the replica for a request, or None when none may be sent it now."""
        now = self.node.now()
        candidates = [r for r in self.replicas(service) if r.name not in avoided_names]
        if not candidates:
            return None
        trusted = [r for r in candidates if self.view(r).is_trusted(now)]
        silent = self.node.bounds.replica_timeout
        heard = [r for r in trusted if not is_quiet(r, now, silent)] or trusted
        sound = [r for r in heard if may_send_cold or not r.is_cold(now)]
        while sound:
            chosen_replica = self._prefer(sound, request)
            if not chosen_replica.is_cold(now) or self.ramp.take(chosen_replica, now):
                return chosen_replica
            sound = [r for r in sound if r is not chosen_replica]
        return None

    def _prefer(self, candidates, request):
        long_parts = [name for name, tokens in request.chain[:-1] if tokens >= LONG_PART]
        if long_parts:
            ranked = sorted(candidates, key=lambda r: score(long_parts[0], r.name), reverse=True)
            for replica in ranked[:2]:
                if self.view(replica).reading < READING_AHEAD:
                    return replica
        return min(candidates, key=self._weight)

    def _weight(self, replica):
        view = self.view(replica)
        is_elsewhere = replica.zone != self.node.me.zone
        return (
            (view.in_flight + view.reading / 4000) / replica.slots * 8
            + OTHER_ZONE * is_elsewhere
            + 0.3 * self.node.runtime.random.random()
        )

    def begin(self, replica, request):
        """Return the lease of a request that goes to the replica now."""
        view = self.view(replica)
        if view.failures:
            view.is_on_trial = True
        return Lease(self, view, replica, request.tokens_in)

    def failed(self, replica, is_surely):
        """Note a failure of a replica; one that is surely down gets nothing for a while."""
        view = self.view(replica)
        view.fail(self.node.now(), is_surely, self.node.bounds)
        self.wake()

    def is_silent(self, replica, seconds):
        """Tell whether nothing came from a replica, on any of this node's sendings, for so long."""
        return self.node.now() - self.view(replica).heard_at >= seconds
