"""Which replica gets a request: by kept prompt parts, by load, by trouble, by ramp while cold."""

from quillring.forward.ramp import Ramp
from quillring.forward.view import View, is_quiet
from quillring.kernel.effects import Signal
from quillring.nifty.graph import score

LONG_PART = 1024
READING_AHEAD = 24_000
OTHER_DOMAIN = 0.4


class Lease:
    """A request under way at a replica."""

    __slots__ = ("placement", "view", "replica", "tokens", "isReading", "isOver")

    def __init__(self, placement, view, replica, tokens):
        self.placement = placement
        self.view = view
        self.replica = replica
        self.tokens = tokens
        self.isReading = True
        self.isOver = False
        view.inFlight += 1
        view.reading += tokens

    def heard(self):
        """Note bytes of the answer: the replica works, and the prompt is read."""
        self.view.heardAt = self.placement.node.now()
        self.view.failures = 0
        self.view.isOnTrial = False
        if self.isReading:
            self.isReading = False
            self.view.reading -= self.tokens

    def end(self):
        """Give the place back."""
        if self.isOver:
            return
        self.isOver = True
        self.view.inFlight -= 1
        self.view.isOnTrial = False
        if self.isReading:
            self.view.reading -= self.tokens
        self.placement.wake()


class Placement:
    """The replicas as this node's own sendings show them, and the choice among them."""

    __slots__ = ("node", "views", "ramp", "changed", "usable", "usableTable", "usableLayout")

    def __init__(self, node):
        self.node = node
        self.views = {}
        self.ramp = Ramp(node)
        self.changed = Signal()
        self.usable = {}
        self.usableTable = self.usableLayout = None
        node.find("replicas").on_change.append(self.wake)

    def wake(self):
        """Let those look again who wait for a place."""
        if self.changed.watchers:
            changedSignal, self.changed = self.changed, Signal()
            changedSignal.set()

    def view(self, replica):
        """Return what this node's own sendings show of a replica."""
        view = self.views.get(replica.name)
        if view is None:
            known = self.node.find("replicas").table
            self.views = {n: v for n, v in self.views.items() if n in known or v.inFlight}
            view = self.views[replica.name] = View()
        return view

    def replicas(self, service):
        """Return the replicas of a service that may be sent something."""
        replicas, layout = self.node.find("replicas"), self.node.find("layout").layout
        if self.usableTable != replicas.edition or self.usableLayout is not layout:
            byService = {}
            for replica in replicas.table.values():
                if replicas.may_be_sent(replica):
                    byService.setdefault(replica.service, []).append(replica.name)
            self.usable = byService
            self.usableTable, self.usableLayout = replicas.edition, layout
        return [replicas.table[name] for name in self.usable.get(service, ())]

    def choose(self, service, request, avoidedNames=(), maySendCold=True):
        """Return the replica for a request, or None when none may be sent it now."""
        now = self.node.now()
        candidates = [r for r in self.replicas(service) if r.name not in avoidedNames]
        if not candidates:
            return None
        trusted = [r for r in candidates if self.view(r).is_trusted(now)]
        silent = self.node.bounds.silent
        heard = [r for r in trusted if not is_quiet(r, now, silent)] or trusted
        sound = [r for r in heard if maySendCold or not r.is_cold(now)]
        while sound:
            chosenReplica = self._prefer(sound, request)
            if not chosenReplica.is_cold(now) or self.ramp.take(chosenReplica, now):
                return chosenReplica
            sound = [r for r in sound if r is not chosenReplica]
        return None

    def _prefer(self, candidates, request):
        longParts = [name for name, tokens in request.chain[:-1] if tokens >= LONG_PART]
        if longParts:
            ranked = sorted(candidates, key=lambda r: score(longParts[0], r.name), reverse=True)
            for replica in ranked[:2]:
                if self.view(replica).reading < READING_AHEAD:
                    return replica
        return min(candidates, key=self._weight)

    def _weight(self, replica):
        view = self.view(replica)
        isElsewhere = replica.domain != self.node.me.domain
        return (
            (view.inFlight + view.reading / 4000) / replica.slots * 8
            + OTHER_DOMAIN * isElsewhere + 0.3 * self.node.world.random.random()
        )

    def begin(self, replica, request):
        """Return the lease of a request that goes to the replica now."""
        view = self.view(replica)
        if view.failures:
            view.isOnTrial = True
        return Lease(self, view, replica, request.tokensIn)

    def failed(self, replica, isSurely):
        """Note a failure of a replica; one that is surely down gets nothing for a while."""
        view = self.view(replica)
        view.fail(self.node.now(), isSurely, self.node.bounds)
        self.wake()

    def is_silent(self, replica, seconds):
        """Tell whether nothing came from a replica, on any of this node's sendings, for so long."""
        return self.node.now() - self.view(replica).heardAt >= seconds
