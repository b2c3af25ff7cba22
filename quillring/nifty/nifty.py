"""NIFTY in a process: heartbeats to all, bitmaps, graph, routes, relays, deduplication."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import BadWire
from quillring.nifty.bits import Orders
from quillring.nifty.graph import Graph
from quillring.nifty.heard import Beat, Heard
from quillring.nifty.peers import Peers
from quillring.nifty.relay import Relay
from quillring.nifty.starts import is_clash, renew_start, tell_stranger
from quillring.nifty.telling import Telling
from quillring.nifty.wire import SPOKEN

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quillring.kernel.node import Node
    from quillring.kernel.types import Address, Coroutine

PARTS = 4
STARTING = 4
MENDED_A_PART = 3


class Nifty(Relay, Peers):
    """The peer layer of one node; newly started, it presses those it has no link to."""

    __slots__ = (
        "seeds",
        "graph",
        "sequence",
        "beat_sequence",
        "told",
        "beat_times",
        "sources",
        "refreshed_at",
        "mended_count",
        "seen",
        "listeners",
        "stamp_source",
        "on_strange_roster",
        "versions",
        "started_at",
        "answered_names",
    )

    def __init__(
        self, node: Node, seeds: Iterable[Address], versions: tuple[int, ...] = SPOKEN
    ) -> None:
        super().__init__(node)
        self.seeds = tuple(seeds)
        self.graph = Graph(node.me.name, {})
        self.sequence = 0
        self.beat_sequence = 0
        self.told = (None, 0)
        self.beat_times = {}
        self.sources = None
        self.refreshed_at = None
        self.mended_count = 0
        self.seen = {}
        self.listeners = []
        self.stamp_source = lambda: None
        self.on_strange_roster = lambda name: None
        self.versions = versions
        self.started_at = node.now()
        self.answered_names = frozenset()
        node.handle("member.former", lambda body, origin: renew_start(self, body))

    def run(self) -> Coroutine:
        """Coroutine: send a heartbeat to all in every period, the lost ones included."""
        while True:
            self.send_beats()
            for part in range(PARTS):
                self._press(part)
                self.refresh()
                yield Sleep(self.pace.period / PARTS)

    def _press(self, part: int):
        former_names, self.answered_names = self.answered_names, self.reached_names()
        if part and self.node.now() - self.started_at < self.pace.period * STARTING:
            self.send_beats(former_names & self.answered_names)

    def send_beats(self, left_out_names: frozenset[str] = frozenset()) -> None:
        """Send one heartbeat to every member not left out and to each seed not yet known."""
        telling, own_address, heard_of = self._next_telling(), self.node.me.address, self.heard.get
        addresses = self.roster.addresses
        for address, names in addresses.items():
            if address != own_address and not left_out_names.issuperset(names):
                heard = (
                    heard_of(names[0])
                    if len(names) == 1
                    else max(
                        (self.heard[name] for name in names if name in self.heard),
                        key=lambda heard: heard.at,
                        default=None,
                    )
                )
                self._send_beat(address, telling, heard)
        for address in dict.fromkeys(self.seeds):
            if address != own_address and address not in addresses:
                self._send_beat(address, telling, None)

    def _next_telling(self):
        me, roster, now = self.node.me, self.roster, self.node.now()
        self.beat_sequence += 1
        oldest_time = now - max(self.node.bounds.propagation * 3, self.pace.broken * 2)
        self.beat_times = {s: at for s, at in self.beat_times.items() if at > oldest_time}
        self.beat_times[self.beat_sequence] = now
        bitmap = roster.to_bitmap(self.reached_names())
        content = (me, roster.digest, bitmap)
        if self.told[0] != content:
            self.told = (content, self.beat_sequence)
        return Telling(
            me,
            self.beat_sequence,
            self.told[1],
            roster.digest,
            bitmap,
            self.stamp_source(),
            self.versions,
            now - self.pace.broken,
        )

    def _send_beat(self, address: Address, telling: Telling, heard: Heard | None):
        data = telling.to(heard)
        self.node.count("beats_sent")
        self.node.count("beat_bytes", len(data))
        self.node.runtime.datagram(address, data)

    def on_datagram(self, data: bytes) -> None:
        """Take a heartbeat; garbage is counted and dropped."""
        try:
            beat = Beat(data, self.versions, self.known_roster.members)
        except BadWire as error:
            self.node.count("bad_datagrams")
            self.node.count("other_versions", error.detail["reason"] == "version")
            return
        if beat.name == self.node.me.name:
            return
        heard = former = self.heard.get(beat.name)
        is_known = heard is not None and heard.incarnation == beat.incarnation
        if not is_known or beat.sequence <= heard.sequence:
            if not self._is_news(beat, heard):
                return
            heard = self.heard[beat.name] = Heard(beat)
        self._hear(heard, beat)
        if not is_known and (
            former is not None or self.pace.period > self.node.bounds.heartbeat_interval
        ):
            self._send_beat(beat.member.address, self._next_telling(), heard)

    def _is_news(self, beat: Beat, heard: Heard | None):
        """Tell whether an unexpected heartbeat is of a newer start; a stranger is told."""
        if beat.member is None:
            self.node.count("unread_beats")
            return False
        if is_clash(self, beat.member, heard):
            self.node.count("identity_clashes")
            tell_stranger(self, beat.member, beat.version, "member.clash", None)
            return False
        if heard is None or beat.incarnation > heard.incarnation:
            return True
        if beat.version > 1 and not self.is_heard(heard):
            former = heard.incarnation
            tell_stranger(self, beat.member, beat.version, "member.former", former)
        return False

    def _hear(self, heard: Heard, beat: Beat):
        """Take what a heartbeat tells; a link that came up is routed at once or within a part."""
        now = self.node.now()
        heard.at, heard.sequence, heard.stamp = now, beat.sequence, beat.stamp
        heard.is_refused = False
        heard.version, heard.reads_terse = max(heard.version, beat.version), beat.reads_terse
        is_echoed = beat.echo is not None and beat.echo[0] == self.node.me.incarnation
        heard.acked = beat.echo[1] if is_echoed else 0
        if is_echoed:
            heard.echo_at = self.beat_times.get(beat.echo[1], heard.echo_at)
        if beat.member is not None and beat.member is not self.known_roster.members.get(beat.name):
            self.learn(beat.member)
        if beat.bitmap is not None and self.take_row(heard, beat.digest, beat.bitmap):
            self.is_stale = True
        if heard.digest != self.known_roster.digest and self.mended_count < MENDED_A_PART:
            self.mended_count += 1
            self.on_strange_roster(beat.name)
        if (
            heard.echo_at is not None
            and self.graph.hops(beat.name) != 1
            and (heard.echo_at > now - self.pace.broken - self.pace.period)
        ):
            self.is_stale = True
            if self.refreshed_at is None or now - self.refreshed_at >= self.pace.period / PARTS:
                self.refresh()

    def refresh(self) -> None:
        """Make the graph anew if what was heard has changed; a changed one is told to listeners."""
        heard_edge, roster, me = self.node.now() - self.pace.broken, self.roster, self.node.me.name
        self.mended_count = 0
        reached_names = self.reached_names()
        sources = (
            reached_names,
            frozenset(
                [
                    name
                    for name, heard in self.heard.items()
                    if heard.roster is not None
                    and heard.at > heard_edge
                    and not heard.is_refused
                    and name in roster.places
                ]
            ),
        )
        if not self.is_stale and sources == self.sources:
            return
        self.sources, self.is_stale, self.refreshed_at = sources, False, self.node.now()
        orders = Orders(roster.places)
        rows = {name: self.heard[name].bits_over(orders) for name in sources[1]}
        rows[me] = roster.from_bitmap(roster.to_bitmap(reached_names))
        self.node.count("graph_makings")
        self._swap_graph(Graph.of_bits(me, roster.names, roster.places, rows))

    def _swap_graph(self, new_graph: Graph):
        former_graph = self.graph
        if new_graph.same_links(former_graph):
            return
        lost_names = former_graph.neighbours() - new_graph.neighbours()
        for member in map(self.known_roster.members.get, sorted(lost_names)):
            if member is not None:
                self.node.runtime.reset(member.address)
        self.graph = new_graph
        self.node.count("graph_changes")
        for listener in self.listeners:
            listener(new_graph)

    def bridge_nodes(self) -> tuple[str, ...]:
        """Return the current bridge list (paper, listing 5.1)."""
        return self.graph.bridge_nodes()

    def sides(self) -> tuple[tuple[str, ...], ...]:
        """Return the sides of the current cut."""
        return self.graph.sides()
