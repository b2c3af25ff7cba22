"""Reads of lots of HTTP requests at the owner of their part, held until a result exists."""

from quillring.kernel.effects import Signal, Wait
from quillring.kernel.errors import NotFound, NotOwner
from quillring.quorum.commands import QUERIES

CERTAIN = 0.15


class ResultReader:
    """Answers reads, and wakes those that wait for the next result of a lot.

    What is listed is committed and never changes, so it goes out from the state at hand, with the
    entry in flight about the lot: the stores may have told of it already (`InFlight`). That
    there is nothing is only said under a fence that is newer than a fraction of the reading bound.
    """

    __slots__ = ("node", "signals")

    def __init__(self, node):
        self.node = node
        self.signals = {}
        node.handle("raw.read", self.on_read)

    def on_batch(self, owner, batch):
        """Wake the readers of the lots that a batch concerns; of all when the owner changes."""
        names = {command.get("lot") for command in batch} if batch else set(self.signals)
        for name in names & set(self.signals):
            self.signals.pop(name).set()

    def on_read(self, body, origin):
        """Answer a query, after some seconds at most while the lot has no further result."""
        owner, query = self.node.find("ownership").leaders.get(body["part"]), body["query"]
        end_time = self.node.now() + body["seconds"]
        if owner is not None:
            yield from owner.in_flight.wait(query["lot"])
        while True:
            if owner is None or not owner.is_leader:
                raise NotOwner(part=body["part"])
            answer = self._look(owner.state, query)
            seconds_left = end_time - self.node.now()
            if answer is not None and (answer["results"] or answer["is_over"]):
                return answer
            if answer is None or seconds_left <= 0:
                break
            signal = self.signals.setdefault(query["lot"], Signal())
            yield Wait(signal, seconds_left)
        if answer is not None and self._is_certain(owner):
            return answer
        read_state = yield from owner.linearizable_state()
        return QUERIES.find(query["ask"])(read_state, query)

    def _look(self, state, query):
        try:
            return QUERIES.find(query["ask"])(state, query)
        except NotFound:
            return None

    def _is_certain(self, owner):
        return self.node.now() - owner.confirmed_at < self.node.bounds.read_timeout * CERTAIN
