"""How far one forwarded request has come, and whether another replica may be asked."""

from typing import NamedTuple

from quillring.kernel.errors import OutcomeUnknown

PATIENCE_SHARE = 1.2


class Progress:
    """How far one request has come: attempts made, replicas to avoid, what the client has.

    `attempts` counts the replicas that the request may have reached, a refusal with the word of
    not having run included; only what provably reached nothing is not counted.
    """

    __slots__ = ("attempts", "avoided_names", "last_event", "has_head", "end_time", "last_answer")

    def __init__(self, end_time, last_event):
        self.attempts = 0
        self.avoided_names = set()
        self.last_event = last_event
        self.has_head = False
        self.end_time = end_time
        self.last_answer = None


class Outcome(NamedTuple):
    """What an attempt came to: the end of the request with its answer, or that it goes on."""

    is_final: bool
    answer: tuple | None = None


GO_ON = Outcome(False)
STREAM_ENDED = Outcome(True)


def first_patience(node, forward, progress):
    """Return after how many seconds of silence a replica is left, or None where none may follow."""
    if not may_go_on(node, forward, progress):
        return None
    return forward.pause_seconds * PATIENCE_SHARE


def may_go_on(node, forward, progress):
    """Tell whether another replica may be asked after one that may have run the request."""
    is_in_time = node.now() < progress.end_time
    return forward.may_repeat and progress.attempts < forward.tries and is_in_time


def check_may_follow(node, forward, progress, error):
    """Raise OutcomeUnknown unless another replica may be asked after a failed attempt."""
    if not forward.may_repeat:
        raise OutcomeUnknown(reason="the replica broke off") from error
    if not may_go_on(node, forward, progress):
        raise OutcomeUnknown(reason="no attempt left") from error


def note_error(node, progress, replica, error, is_surely):
    """Remember a failed attempt, here and in the view of its replica."""
    node.count(f"forward_{error.kind}_{error.detail.get('reason', '')}")
    progress.avoided_names.add(replica.name)
    if error.detail.get("reason") not in ("left", "no time left"):
        is_stalled = error.detail.get("reason") == "stall"
        node.find("placement").failed(replica, is_surely or is_stalled)
