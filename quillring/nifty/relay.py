"""Messages between nodes: sent by the best route, relayed for others, delivered once."""

from quillring.kernel.errors import BadWire
from quillring.nifty.heard import read_envelope
from quillring.nifty.seen import SeenWindow
from quillring.nifty.wire import pack

HOP_LIMIT = 6


class Relay:
    """The message side of the peer layer; a message may be lost, but is delivered once."""

    __slots__ = ()

    def reaches(self, name: str) -> bool:
        """Tell whether a message can get to the node, directly or relayed."""
        return name == self.node.me.name or name in self.graph.routes

    def level(self) -> int:
        """Return the newest version that every member in reach is known to speak."""
        names = [name for name in self.roster.names if name in self.graph.routes]
        spoken = [self.heard[n].version if n in self.heard else self.versions[0] for n in names]
        return min((self.versions[-1], *spoken))

    def send(self, target: str, message: dict) -> bool:
        """Send a message by the best route; False when no route is known."""
        self.sequence += 1
        me = self.node.me
        return self._forward([me.name, me.incarnation, self.sequence, target, HOP_LIMIT, message])

    def _forward(self, envelope: list):
        origin, _, _, target, hops_left, _ = envelope
        hop = self.graph.next_hop(target, origin)
        hop_member = self.roster.members.get(hop)
        if hop_member is None or hops_left <= 0:
            self.node.count("unrouted")
            return False
        heard = self.heard.get(hop)
        version = self.versions[0] if heard is None else heard.version
        self.node.runtime.frame(hop_member.address, pack(envelope, version))
        return True

    def on_frame(self, data: bytes) -> None:
        """Take a frame: deliver it once here, or relay it."""
        try:
            envelope = read_envelope(data, self.versions)
        except BadWire:
            self.node.count("bad_frames")
            return
        origin, incarnation, sequence, target, hops_left, message = envelope
        if target != self.node.me.name:
            self.node.count("relayed")
            self.node.count("relayed_bytes", len(data))
            self._forward([*envelope[:4], hops_left - 1, message])
            return
        if self._is_new(origin, incarnation, sequence):
            self.node.on_message(origin, message)
        else:
            self.node.count("duplicates")

    def _is_new(self, origin: str, incarnation: int, sequence: int):
        """Tell whether a message is the first copy, and of no former life of its sender.

        The window knows the lives this node got messages from, the roster also those that it only
        heard of: a node that starts anew has no window yet.
        """
        window = self.seen.get(origin)
        if window is None:
            known = self.find_member(origin)
            if known is not None and incarnation < known.incarnation:
                return False
        if window is None or incarnation > window.incarnation:
            window = self.seen[origin] = SeenWindow(incarnation)
        return incarnation == window.incarnation and window.first_time(sequence)
