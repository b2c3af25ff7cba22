"""Typed errors; an error is named by its `kind` between processes and over HTTP.

Each docstring says what happened, who receives the error, and what to do.
"""

from __future__ import annotations

from typing import Any

KINDS: dict[str, type[QuillringError]] = {}


class QuillringError(Exception):
    """Base of all typed failures.

    Attributes
    ----------
    kind : name of the error on the wire and in HTTP bodies; part of the released interface
    status : HTTP status code of the response
    may_retry_later : whether the response has a Retry-After header
    is_final : whether a retry is useless
    detail : further fields of the error by name
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
        """Return the JSON body of the error response."""
        return {"trouble": self.kind, **self.detail}


def error_from_wire(kind: str, detail: dict[Any, Any]) -> QuillringError:
    """Return the error that a peer reported under a kind, as its own type."""
    return KINDS.get(kind, QuillringError)(**{str(name): value for name, value in detail.items()})


class Unreachable(QuillringError):
    """The caller has no route to the node and sent nothing; retry once a route is back."""

    kind = "unreachable"
    status = 503
    may_retry_later = True


class TimedOut(QuillringError):
    """No reply reached the caller in time; whether the call ran is unknown.

    Retry only idempotent calls, or ask for the outcome first.
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

    Counted as bad_datagrams, bad_frames and other_versions; an operator checks the releases.
    """

    kind = "bad_wire"


class BadSetting(QuillringError):
    """An error in the settings file or flags; whoever starts the process corrects it and restarts.

    All errors are raised together in one ExceptionGroup.
    """

    kind = "bad_setting"


class BadRequest(QuillringError):
    """The request is malformed; its client corrects the fields named before it retries."""

    kind = "bad_inquiry"
    status = 400


class TooLarge(QuillringError):
    """The body of a request is over `limit` bytes; its client sends a smaller one."""

    kind = "too_large"
    status = 413


class NotFound(QuillringError):
    """Nothing of this name exists; the client checks the name, or retries after it was created."""

    kind = "not_found"
    status = 404


class WrongMethod(QuillringError):
    """The path exists, but not with this method; the client uses one of `allowed`."""

    kind = "wrong_method"
    status = 405


class Refused(QuillringError):
    """A final refusal: the client's work never ran and will not run.

    It may be sent again as new work after the time in Retry-After.
    """

    kind = "refused"
    status = 503
    may_retry_later = True


class OutcomeUnknown(QuillringError):
    """The client's work may or may not have run, and was not retried.

    The client asks for its outcome, or retries it if it is idempotent.
    """

    kind = "outcome_unknown"
    status = 502


class Conflict(QuillringError):
    """A concurrent change won; the client reads the winning version and redoes its change."""

    kind = "conflict"
    status = 409


class NotLeader(QuillringError):
    """The called node does not lead the part; the caller finds the leader and calls that."""

    kind = "not_owner"
    status = 503
    may_retry_later = True


class Fenced(QuillringError):
    """A store saw a higher ballot than this leader's, which stops writing.

    The caller asks the new leader; whether its last write took effect is unknown.
    """

    kind = "fenced"
    status = 503
    may_retry_later = True


class NoMajority(QuillringError):
    """Fewer than a majority of stores answered the leader; a write may still take effect.

    The caller retries with the same command id; an operator looks for failed stores.
    """

    kind = "no_majority"
    status = 503
    may_retry_later = True


class NotFounded(QuillringError):
    """The fleet was not bootstrapped yet; an operator does that, then the caller retries."""

    kind = "not_founded"
    status = 503
    may_retry_later = True


class DiskError(QuillringError):
    """The data folder of a store can't be written or read; sent to the leader that called it.

    The store acknowledges nothing it could not write; an operator frees room or replaces the disk.
    """

    kind = "disk_trouble"
    status = 507


class Damaged(DiskError):
    """The data folder of a store is damaged; the operator takes the repair step that is named."""

    kind = "damaged"


class BackendError(QuillringError):
    """The replica closed early, stalled or sent invalid HTTP; the request may have run.

    The edge retries at another replica if the request may run twice; `reason` is the cause.
    """

    kind = "backend_trouble"
    status = 502


class Busy(BackendError):
    """The replica had no free slot and ran nothing; the edge tries another replica."""

    kind = "busy"


class StaleConnection(BackendError):
    """An idle connection closed without a byte of a response; the request may have run.

    The edge retries a request that may run twice, over a new connection.
    """

    kind = "stale_connection"


class NotSent(BackendError):
    """The request certainly did not run at the replica; the edge may send it to any other."""

    kind = "not_sent"
