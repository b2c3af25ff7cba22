"""Client of a part: commands and reads go to whichever core owns it, wherever they begin."""

from quillring.kernel.errors import (
    Fenced,
    NoMajority,
    NotOwner,
    OutcomeUnknown,
    QuillringError,
    Refused,
    TimedOut,
    Unreachable,
)
from quillring.quorum.leader.follower_read import peek
from quillring.quorum.parts import majority
from quillring.quorum.waits import wait_for_owner

LONGEST_PAUSE = 1.5
LOOK_ELSEWHERE = (Fenced, NotOwner, TimedOut, Unreachable)


class PartClient:
    """The client side of ownership: finds a part's owner and repeats what may be repeated."""

    __slots__ = ()

    def submit(self, part, command, seconds=None):
        """Coroutine: commit a command that carries its own id, at whichever core owns the part."""
        answer = yield from self.call_leader(part, "part.submit", {"command": command}, seconds)
        return answer

    def read(self, part, query, seconds=None):
        """Coroutine: read a part's state from its owner, or from a majority of its stores."""
        bounds, last_error = self.node.bounds, NotOwner(part=part)
        end_time = self.node.now() + (bounds.propagation * 2 if seconds is None else seconds)
        while self.node.now() < end_time:
            unavailability = self.why_unavailable(part)
            if unavailability is not None:
                raise Refused(reason=unavailability.kind, part=part)
            for owner_name in self._call_targets(part)[:1]:
                try:
                    body = {"part": part, "query": query}
                    seconds = min(bounds.read_timeout / 2, end_time - self.node.now())
                    answer = yield from self.node.call(owner_name, "part.read", body, seconds)
                    return answer
                except (*LOOK_ELSEWHERE, NoMajority) as error:
                    last_error = error
            seconds = min(bounds.read_timeout / 2, end_time - self.node.now())
            if seconds > 0:
                known = yield from peek(self.node, part, self.group(part), query, seconds)
                if known is not None:
                    self.node.count("peeks")
                    return known()
            yield from self._pause_before_retry(end_time)
        raise Refused(reason=last_error.kind, part=part)

    def call_leader(self, part, service, body, seconds):
        """Coroutine: call a service of the core that owns the part, wherever it is.

        Once a call of a command may have run, its outcome is unknown whatever a later call answers
        but success or a refusal of what can never be taken: the earlier one may still take effect.
        """
        bounds = self.node.bounds
        end_time = self.node.now() + (bounds.propagation * 2 if seconds is None else seconds)
        self.founding()
        last_error, attempts, may_have_run = NotOwner(part=part), 0, False
        while self.node.now() < end_time:
            unavailability = self.why_unavailable(part)
            if unavailability is not None:
                last_error = unavailability
                break
            candidates = self._call_targets(part)
            if candidates:
                try:
                    answer = yield from self.node.call(
                        candidates[attempts % len(candidates)],
                        service,
                        {"part": part, **body},
                        min(bounds.propagation, end_time - self.node.now()),
                    )
                    return answer
                except (*LOOK_ELSEWHERE, NoMajority) as error:
                    last_error = error
                    may_have_run = may_have_run or (
                        service == "part.submit" and isinstance(error, (NoMajority, TimedOut))
                    )
                except QuillringError as error:
                    if may_have_run and not error.is_final:
                        raise _unknown(part) from error
                    raise
            attempts += 1
            yield from self._pause_before_retry(end_time)
        if may_have_run:
            raise _unknown(part)
        raise Refused(reason=last_error.kind, part=part)

    def why_unavailable(self, part):
        """Return the error that no core this node reaches can overcome, or None.

        A node that has just started does not know yet whom it reaches.
        """
        if self.node.now() - self.started_at < self.node.bounds.propagation:
            return None
        graph, group = self.node.find("nifty").graph, self.group(part)
        reached = [store[0] for store in group if store[0] in graph.reachable()]
        if len(reached) < majority(group):
            return NoMajority(part=part, heard=sorted(reached))
        return None if self.candidates(part) else Unreachable(part=part)

    def _pause_before_retry(self, end_time):
        """Coroutine: a pause between two attempts, which does not outlast the asking."""
        seconds = min(
            self.node.bounds.heartbeat_interval / 4, (end_time - self.node.now()) / LONGEST_PAUSE
        )
        if seconds > 0:
            yield from wait_for_owner(self.node, seconds)

    def _call_targets(self, part):
        news = self.node.find("gossip").get(f"owner/{part}")
        ranked_names = self.candidates(part)
        named_owner = [news["owner"]] if news and news["owner"] in ranked_names else []
        return [*named_owner, *(name for name in ranked_names[:2] if name not in named_owner)]


def _unknown(part):
    return OutcomeUnknown(part=part, reason="repeat it under the same key or id")
