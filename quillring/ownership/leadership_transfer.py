"""Giving a part to the core that ranks first: it fetches the state before its owner steps down."""

from quillring.kernel.errors import Conflict, NotOwner, QuillringError, UnknownService
from quillring.quorum.leader.part_leader import PartLeader
from quillring.quorum.transfer import START, Place, StateBuilder, cut_piece


class LeadershipTransfer:
    """Both sides of a planned change of owners; the part is without one as briefly as can be."""

    __slots__ = ("ownership", "given")

    def __init__(self, ownership):
        self.ownership = ownership
        self.given = {}
        node = ownership.node
        node.handle("part.ready", self.on_ready)
        node.handle("part.piece", self.on_piece)

    def begin(self, part, owner, name):
        """Hand a part over to a core, unless that is under way."""
        if part not in self.given:
            self.given[part] = (owner.index, owner.state)
            self.ownership.node.spawn(self._transfer(part, owner, name))

    def _transfer(self, part, owner, name):
        """Coroutine: let the next owner fetch the state; then step down and tell it."""
        node = self.ownership.node
        body = {"part": part, "index": self.given[part][0]}
        try:
            yield from node.call(name, "part.ready", body, node.bounds.propagation * 2)
        except UnknownService:
            node.count("handovers_without_state")
        except QuillringError as error:
            node.log("warning", "%s is not ready to own %s: %s", name, part, error)
        finally:
            del self.given[part]
        if owner.is_leader and self.ownership.candidates(part)[:1] == [name]:
            owner.step_down(NotOwner(part=part))
            node.send_oneway(name, "part.free", part)

    def on_piece(self, body, origin):
        """Give a piece of the state that is handed over, as [data, place behind it or None]."""
        index, state = self.given.get(body["part"], (None, None))
        if index != body["index"]:
            raise Conflict(part=body["part"], index=index)
        data, following = cut_piece(state, Place(*body["place"]))
        return [data, following]

    def on_ready(self, body, origin):
        """Coroutine: fetch the state of a part from its owner, so as to be its next one."""
        part, index = body["part"], body["index"]
        former = self.ownership.leaders.get(part)
        if former is not None and (former.is_leader or former.index >= index):
            return True
        builder, place, node = StateBuilder(), START, self.ownership.node
        while place is not None:
            wanted = {"part": part, "index": index, "place": list(place)}
            data, following = yield from node.call(
                origin, "part.piece", wanted, node.bounds.read_timeout
            )
            builder.add(data, following)
            place = None if following is None else Place(*following)
        is_unchanged = self.ownership.leaders.get(part) is former
        if is_unchanged and part not in self.ownership.elections:
            successor = PartLeader(node, part, self.ownership.group(part), former)
            successor.index, successor.state = index, builder.whole()
            self.ownership.leaders[part] = successor
        return True
