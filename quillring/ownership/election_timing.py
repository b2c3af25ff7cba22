"""When a core may try to take a part: few try after a common start, and nobody twice in a row."""

from quillring.quorum.parts import majority

STARTING_BEATS = 8
SETTLED_BEATS = 2
CUT_BEATS = 3


class ElectionTiming:
    """Who ranks first for each part and for how long, as one node sees it.

    While nodes start, or the loss of one is noticed at different times, the ranks waver: several
    cores each believe to be the first.
    """

    __slots__ = ("node", "known", "reached", "reached_at", "started_at")

    def __init__(self, node):
        self.node = node
        self.known = {}
        self.reached, self.reached_at = frozenset(), node.now()
        self.started_at = node.now()

    def on_graph(self, graph):
        """Note since when this node has reached the stores and cores it does."""
        members = self.node.find("nifty").roster.members
        reached = frozenset(
            name
            for name in graph.reachable()
            if name in members and members[name].role in ("core", "store")
        )
        if reached != self.reached:
            self.reached, self.reached_at = reached, self.node.now()

    def forget_observations(self):
        """Trust nothing known: this process was stopped so long that others took it for dead."""
        self.known = {}
        self.started_at = self.reached_at = self.node.now()

    def observe_first_candidate(self, part, name):
        """Take who ranks first now; return for how many seconds it has."""
        now = self.node.now()
        if self.known.get(part, (None,))[0] != name:
            self.known[part] = (name, now)
        return now - self.known[part][1]

    def is_settled(self, seconds):
        """Tell whether a rank held for so long will last.

        While a node comes back, each core hears it sooner than it hears of the others doing so,
        and takes itself for the only bridge of a cut for up to three beats.
        """
        beats = CUT_BEATS if self.node.find("nifty").graph.is_cut else SETTLED_BEATS
        return seconds >= self.node.bounds.heartbeat_interval * beats

    def is_starting(self):
        """Tell whether this node started lately and still hears of others for the first time."""
        now, beat = self.node.now(), self.node.bounds.heartbeat_interval
        return now - self.started_at < beat * STARTING_BEATS and now - self.reached_at < beat

    def has_majority(self, group):
        """Tell whether enough stores of a group are in reach for a ballot."""
        return sum(store[0] in self.reached for store in group) >= majority(group)

    def is_contended(self, ballot):
        """Tell whether the ballot that fenced this core off is that of a live start of another."""
        name, _, incarnation = str(ballot[1]).rpartition("#")
        member = self.node.find("nifty").roster.members.get(name)
        return (
            name != self.node.me.name
            and member is not None
            and str(member.incarnation) == incarnation
            and name in self.reached
            and not self.node.find("ownership").declines_leadership(name)
        )
