"""NIFTY in a process: heartbeats to all, bitmaps, graph, routes, relays, deduplication."""

import math

from quillring.kernel.effects import Sleep
from quillring.kernel.troubles import BadWire
from quillring.nifty.graph import Graph
from quillring.nifty.heard import Beat, Heard, read_envelope
from quillring.nifty.member import Roster
from quillring.nifty.seen import SeenWindow
from quillring.nifty.starts import is_clash, renew_start, tell_stranger
from quillring.nifty.wire import SPOKEN, pack

HOP_LIMIT = 6
KEPT_ROSTERS = 8


class Nifty:
    """The peer layer of one node."""

    __slots__ = (
        "node", "roster", "oldRosters", "seeds", "heard", "graph", "sequence", "beatSequence",
        "beatTimes", "rows", "seen", "listeners", "stampSource", "on_member", "on_strange_roster",
        "versions",
    )

    def __init__(self, node, seeds, versions=SPOKEN):
        self.node = node
        self.seeds = tuple(seeds)
        self.roster = Roster([node.me])
        self.oldRosters = {self.roster.digest: self.roster}
        self.heard = {}
        self.graph = Graph(node.me.name, {})
        self.sequence = 0
        self.beatSequence = 0
        self.beatTimes = {}
        self.rows = {}
        self.seen = {}
        self.listeners = []
        self.stampSource = lambda: None
        self.on_member = lambda member: None
        self.on_strange_roster = lambda name: None
        self.versions = versions
        node.handle("member.former", lambda body, origin: renew_start(self, body))

    def run(self):
        """Script: send a heartbeat to all in every period, the lost ones included."""
        while True:
            self.send_beats()
            self.refresh()
            yield Sleep(self.node.bounds.beat)

    def send_beats(self):
        """Send one heartbeat to every member and to each seed not yet known."""
        now = self.node.now()
        self.beatSequence += 1
        self.beatTimes = {
            s: at for s, at in self.beatTimes.items() if now - at < self.node.bounds.news * 3
        }
        self.beatTimes[self.beatSequence] = now
        me = self.node.me
        commonPart = [
            me.to_list(), self.beatSequence, self.roster.digest,
            self.roster.to_bitmap(self.reached_names()), self.stampSource(),
        ]
        latestLast = sorted(
            self.roster.members.values(),
            key=lambda m: self.heard[m.name].at if m.name in self.heard else -math.inf)
        memberAddresses = {m.address: m.name for m in latestLast}
        for address in dict.fromkeys((*memberAddresses, *self.seeds)):
            if address == me.address:
                continue
            heard = self.heard.get(memberAddresses.get(address))
            isHeard = heard is not None and self.is_heard(heard)
            newest = self.versions[-1]
            echo = [heard.incarnation, heard.sequence, newest] if isHeard else None
            version = heard.version if isHeard else self.versions[0]
            self._datagram(address, pack([*commonPart, echo], version))

    def _datagram(self, address, data):
        self.node.count("beats_sent")
        self.node.count("beat_bytes", len(data))
        self.node.world.datagram(address, data)

    def is_heard(self, heard):
        """Tell whether fewer than three beats were missed."""
        return heard.at > self.node.now() - self.node.bounds.broken

    def is_silent(self, name, seconds):
        """Tell whether nothing was heard of a member for so long."""
        heard = self.heard.get(name)
        return heard is None or heard.at < self.node.now() - seconds

    def reached_names(self):
        """Return the names heard lately that lately heard this node too, by their echo."""
        edgeTime = self.node.now() - self.node.bounds.broken - self.node.bounds.beat
        return frozenset(
            name for name, heard in self.heard.items()
            if self.is_heard(heard) and heard.echoAt is not None and heard.echoAt > edgeTime
        )

    def on_datagram(self, data):
        """Take a heartbeat; garbage is counted and dropped."""
        try:
            beat = Beat(data, self.versions)
        except BadWire as trouble:
            self.node.count("bad_datagrams")
            self.node.count("other_versions", trouble.detail["reason"] == "version")
            return
        member, sequence, digest = beat.member, beat.sequence, beat.digest
        if member.name == self.node.me.name:
            return
        heard = self.heard.get(member.name)
        if is_clash(self, member, heard):
            self.node.count("identity_clashes")
            tell_stranger(self, member, beat.version, "member.clash", None)
            return
        if heard is not None:
            if member.incarnation == heard.incarnation:
                heard.version = max(heard.version, beat.version)
            if (member.incarnation, sequence) <= (heard.incarnation, heard.sequence):
                if beat.version > 1 and not self.is_heard(heard):
                    former = heard.incarnation
                    tell_stranger(self, member, beat.version, "member.former", former)
                return
        wasReached = member.name in self.graph.links.get(self.node.me.name, ())
        if heard is None or heard.incarnation != member.incarnation:
            heard = self.heard[member.name] = Heard(
                0, member.incarnation, sequence, beat.version)
        heard.at, heard.sequence, heard.stamp = self.node.now(), sequence, beat.stamp
        if beat.echo is not None and beat.echo[0] == self.node.me.incarnation:
            heard.echoAt = self.beatTimes.get(beat.echo[1], heard.echoAt)
        self.learn(member)
        matchingRoster = self.oldRosters.get(digest)
        if digest != self.roster.digest:
            self.on_strange_roster(member.name)
        if matchingRoster is not None:
            newRow = matchingRoster.from_bitmap(beat.bitmap)
            if newRow != heard.row or not wasReached:
                heard.row = newRow
                self.refresh()
        elif not wasReached:
            self.refresh()

    def level(self):
        """Return the newest version that every member in reach is known to speak."""
        names = [name for name in self.roster.names if name in self.graph.routes]
        spoken = [self.heard[n].version if n in self.heard else self.versions[0] for n in names]
        return min((self.versions[-1], *spoken))

    def learn(self, member):
        """Take a member record; a newer incarnation renews the address."""
        known = self.roster.members.get(member.name)
        if known is not None and known.incarnation >= member.incarnation:
            return
        if member.name == self.node.me.name:
            return
        self.swap_roster(self.roster.with_member(member))
        self.on_member(member)

    def forget(self, name):
        """Drop a retired member for good."""
        if name in self.roster.members and name != self.node.me.name:
            self.swap_roster(self.roster.without(name))
            self.heard.pop(name, None)

    def swap_roster(self, newRoster):
        """Put another roster in the place of the present one."""
        self.roster = newRoster
        keptDigests = [*self.oldRosters, newRoster.digest][-KEPT_ROSTERS:]
        self.oldRosters = {**self.oldRosters, newRoster.digest: newRoster}
        self.oldRosters = {digest: self.oldRosters[digest] for digest in keptDigests}
        self.refresh()

    def refresh(self):
        """Make the graph anew from what was heard; a changed one is told to the listeners."""
        rows = {
            name: heard.row for name, heard in self.heard.items()
            if heard.row is not None and self.is_heard(heard)
        }
        rows[self.node.me.name] = self.reached_names()
        if rows == self.rows:
            return
        self.rows = rows
        newGraph = Graph(self.node.me.name, rows)
        if newGraph.links != self.graph.links:
            home = self.node.me.name
            lostNames = self.graph.links.get(home, frozenset()) - newGraph.links[home]
            for member in map(self.roster.members.get, sorted(lostNames)):
                if member is not None:
                    self.node.world.reset(member.address)
            self.graph = newGraph
            self.node.count("graph_changes")
            for listener in self.listeners:
                listener(newGraph)

    def bridge_nodes(self):
        """Return the current bridge list (paper, listing 5.1)."""
        return self.graph.bridge_nodes()

    def sides(self):
        """Return the sides of the current cut."""
        return self.graph.sides()

    def reaches(self, name):
        """Tell whether a message can get to the node, directly or relayed."""
        return name == self.node.me.name or name in self.graph.routes

    def send(self, target, message):
        """Send a message by the best route; False when no route is known."""
        self.sequence += 1
        me = self.node.me
        return self._forward([me.name, me.incarnation, self.sequence, target, HOP_LIMIT, message])

    def _forward(self, envelope):
        origin, _, _, target, hopsLeft, _ = envelope
        hop = self.graph.next_hop(target, origin)
        hopMember = self.roster.members.get(hop)
        if hopMember is None or hopsLeft <= 0:
            self.node.count("unrouted")
            return False
        heard = self.heard.get(hop)
        version = self.versions[0] if heard is None else heard.version
        self.node.world.frame(hopMember.address, pack(envelope, version))
        return True

    def on_frame(self, data):
        """Take a frame: deliver it once here, or relay it."""
        try:
            envelope = read_envelope(data, self.versions)
        except BadWire:
            self.node.count("bad_frames")
            return
        origin, incarnation, sequence, target, hopsLeft, message = envelope
        if target != self.node.me.name:
            self.node.count("relayed")
            self.node.count("relayed_bytes", len(data))
            self._forward([*envelope[:4], hopsLeft - 1, message])
            return
        window = self.seen.get(origin)
        if window is None or incarnation > window.incarnation:
            window = self.seen[origin] = SeenWindow(incarnation)
        if incarnation < window.incarnation or not window.first_time(sequence):
            self.node.count("duplicates")
            return
        self.node.on_message(origin, message)
