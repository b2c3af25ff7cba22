"""Every failure has a type; an error crosses processes and HTTP under its kind.

Each docstring says what happened, who gets the error, and what to do.
"""

from __future__ import annotations

from typing import Any

KINDS: dict[str, type[QuillringError]] = {}


class QuillringError(Exception):
    """Base of all typed failures.

    Attributes
    ----------
    kind : name of the failure on the wire and in HTTP bodies; stays as released
    status : HTTP status under which callers see it
    may_retry_later : whether a caller is told after which time to try again (Retry-After)
    is_final : whether trying again is of no use
    detail : fields that say what it is about
    """

    kind: str = "trouble"
    status: int = 500
    may_retry_later: bool = False
    is_final: bool = False

    def __init__(self, **detail: Any) -> None:
        super().__init__(self.kind, detail)
        self.detail = detail

    def __init_subclass__(cls, **options: Any) -> None:
        super().__init_subclass__(**options)
        KINDS[cls.kind] = cls

    def __str__(self) -> str:
        fields = ", ".join(f"{name}={value}" for name, value in self.detail.items())
        return f"{self.kind}: {fields}" if fields else self.kind

    def to_json(self) -> dict[str, Any]:
        """Return the JSON body under which callers and operators see the error."""
        return {"trouble": self.kind, **self.detail}


def error_from_wire(kind: str, detail: dict[Any, Any]) -> QuillringError:
    """Return the error that a peer reported under a kind, as its own type."""
    return KINDS.get(kind, QuillringError)(**{str(name): value for name, value in detail.items()})


class Unreachable(QuillringError):
    """The caller has no route to the node, so the call never left; retry once links are back."""

    kind = "unreachable"
    status = 503
    may_retry_later = True


class TimedOut(QuillringError):
    """No reply reached the caller in time; whether the call ran is unknown.

    Retry only what may run twice, or ask for its outcome first.
    """

    kind = "timed_out"
    status = 504


class UnknownService(QuillringError):
    """The called node has no handler of this name; its role or version differs from the caller's.

    Compare the versions of both nodes; a retry at the same node is of no use.
    """

    kind = "unknown_service"


class BadWire(QuillringError):
    """A datagram or frame that can't be decoded; its receiver counts and drops it.

    Counted as bad_datagrams, bad_frames and other_versions: look for nodes of another release.
    """

    kind = "bad_wire"


class BadSetting(QuillringError):
    """A fault of the settings file or flags, told to who starts the process; mend it and restart.

    All faults come as one exception group.
    """

    kind = "bad_setting"


class BadRequest(QuillringError):
    """The request is malformed; its client mends the fields named before it sends it again."""

    kind = "bad_inquiry"
    status = 400


class TooLarge(QuillringError):
    """The body of a request is over the limit; its client sends less, `limit` says how much."""

    kind = "too_large"
    status = 413


class NotFound(QuillringError):
    """Nothing of this name is known; the client checks the name, or asks after it was made."""

    kind = "not_found"
    status = 404


class WrongMethod(QuillringError):
    """The path is known, but not under this method; `allowed` lists the client's choices."""

    kind = "wrong_method"
    status = 405


class Refused(QuillringError):
    """A final refusal: the client's work never ran and will not run.

    It may be sent again as new work after the time told.
    """

    kind = "refused"
    status = 503
    may_retry_later = True


class OutcomeUnknown(QuillringError):
    """The client's work may or may not have run, and was not tried again.

    The client asks for its outcome, or sends it again where running twice does no harm.
    """

    kind = "outcome_unknown"
    status = 502


class Conflict(QuillringError):
    """Another change won; the client reads the winning version named and bases its change on it."""

    kind = "conflict"
    status = 409


class NotLeader(QuillringError):
    """The called node does not lead the part; the caller looks for the leader and asks that."""

    kind = "not_owner"
    status = 503
    may_retry_later = True


class Fenced(QuillringError):
    """A store saw a higher ballot than this leader's, which writes nothing more.

    The caller asks the new leader; whether its last write took effect is unknown.
    """

    kind = "fenced"
    status = 503
    may_retry_later = True


class NoMajority(QuillringError):
    """Too few stores of the part answered its leader; a write may still take effect.

    The caller retries with the same command id; an operator looks for lost stores.
    """

    kind = "no_majority"
    status = 503
    may_retry_later = True


class NotFounded(QuillringError):
    """The fleet was not founded yet; an operator founds it, then the caller retries."""

    kind = "not_founded"
    status = 503
    may_retry_later = True


class DiskError(QuillringError):
    """The data folder of a store can't be written or read, told to the leader that asked.

    The store acknowledges nothing it could not write; an operator frees room or replaces the disk.
    """

    kind = "disk_trouble"
    status = 507


class Damaged(DiskError):
    """The data folder of a store is damaged; the operator takes the repair step that is named."""

    kind = "damaged"


class BackendError(QuillringError):
    """The replica broke off or sent no valid HTTP; the request may have run.

    The edge tries another replica where the request may run twice; `reason` says what it saw.
    """

    kind = "backend_trouble"
    status = 502


class Busy(BackendError):
    """The replica had no room and took nothing; the edge tries another one."""

    kind = "busy"


class StaleConnection(BackendError):
    """A kept connection ended without a byte of a response; the request may have run.

    The edge sends a request that may run twice again, over a new connection.
    """

    kind = "stale_connection"


class NotSent(BackendError):
    """The request provably never reached the replica; the edge may send it to any other."""

    kind = "not_sent"
