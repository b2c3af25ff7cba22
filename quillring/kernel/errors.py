"""Error types; on the wire and in HTTP bodies an error is identified by its `kind`.

Each docstring states the cause, who receives the error, and how the receiver should react.
"""

from __future__ import annotations

from typing import Any

KINDS: dict[str, type[QuillringError]] = {}
"""All error types by their kind."""


class QuillringError(Exception):
    """Base class of all errors of this package; an error without a more specific type.

    Attributes
    ----------
    kind : name of the error on the wire and in HTTP bodies, a released interface
    status : HTTP status code of the error response
    may_retry_later : whether the response has a Retry-After header
    is_final : whether a retry cannot succeed
    detail : further fields of the error by name; sent with it
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
    """Return the error that a peer reported, as an instance of the type with this kind."""
    return KINDS.get(kind, QuillringError)(**{str(name): value for name, value in detail.items()})


class Unreachable(QuillringError):
    """There is no route to the called node, and nothing was sent.

    The caller may retry once a route exists again.
    """

    kind = "unreachable"
    status = 503
    may_retry_later = True


class TimedOut(QuillringError):
    """The caller received no reply before the timeout; the call may have run.

    The caller retries only idempotent calls, or queries the outcome first.
    """

    kind = "timed_out"
    status = 504


class UnknownService(QuillringError):
    """The called node has no handler with this name, as its role or version is a different one.

    A retry at the same node cannot succeed; an operator compares the versions of both nodes.
    """

    kind = "unknown_service"


class BadWire(QuillringError):
    """A datagram or frame cannot be decoded; the receiver counts and drops it.

    The counters are bad_datagrams, bad_frames and other_versions. An operator checks which releases
    run on the nodes.
    """

    kind = "bad_wire"


class BadSetting(QuillringError):
    """The settings file or a command-line flag is invalid; the process does not start.

    All errors are raised together in one ExceptionGroup. The operator corrects the settings and
    starts the process again.
    """

    kind = "bad_setting"


class BadRequest(QuillringError):
    """The request is malformed; the client corrects the named fields before it retries."""

    kind = "bad_inquiry"
    status = 400


class TooLarge(QuillringError):
    """The request body is larger than `limit` bytes; the client sends a smaller one."""

    kind = "too_large"
    status = 413


class NotFound(QuillringError):
    """Nothing exists under this name; the client checks it, or retries after its creation."""

    kind = "not_found"
    status = 404


class WrongMethod(QuillringError):
    """The path does not support this method; the client uses one of `allowed`."""

    kind = "wrong_method"
    status = 405


class Refused(QuillringError):
    """The request was rejected; it did not run and will not run.

    The client may send it again as a new request after the time in Retry-After.
    """

    kind = "refused"
    status = 503
    may_retry_later = True


class OutcomeUnknown(QuillringError):
    """The request may or may not have run, and was not retried.

    The client queries the outcome, or retries if the request is idempotent.
    """

    kind = "outcome_unknown"
    status = 502


class Conflict(QuillringError):
    """A concurrent change was committed first; the client reads it and reapplies its own."""

    kind = "conflict"
    status = 409


class NotLeader(QuillringError):
    """The called node is not the leader of the part; the caller looks up and calls the leader."""

    kind = "not_owner"
    status = 503
    may_retry_later = True


class Fenced(QuillringError):
    """A store has promised a higher ballot than that of this leader, which stops writing.

    The caller queries the new leader; whether its last write took effect is unknown.
    """

    kind = "fenced"
    status = 503
    may_retry_later = True


class NoMajority(QuillringError):
    """The leader got replies from less than a majority of stores; a write may still take effect.

    The caller retries with the same command id; an operator checks for failed stores.
    """

    kind = "no_majority"
    status = 503
    may_retry_later = True


class NotFounded(QuillringError):
    """The fleet is not bootstrapped yet; the caller retries after an operator has done that."""

    kind = "not_founded"
    status = 503
    may_retry_later = True


class DiskError(QuillringError):
    """A store cannot write or read its data folder; sent to the leader that called the store.

    The store acknowledges nothing that it could not write. An operator frees disk space or replaces
    the disk.
    """

    kind = "disk_trouble"
    status = 507


class Damaged(DiskError):
    """The data folder of a store is corrupt; the operator follows the repair step in the error."""

    kind = "damaged"


class BackendError(QuillringError):
    """A replica closed the connection early, stalled or sent invalid HTTP; `reason` is the cause.

    The request may have run. The edge retries it at another replica if it may run twice.
    """

    kind = "backend_trouble"
    status = 502


class Busy(BackendError):
    """The replica had no free slot and did not run the request; the edge tries another one."""

    kind = "busy"


class StaleConnection(BackendError):
    """A reused connection was closed before any byte of the response; the request may have run.

    The edge retries a request that may run twice over a new connection.
    """

    kind = "stale_connection"


class NotSent(BackendError):
    """The request certainly did not run at the replica; the edge may send it to any replica."""

    kind = "not_sent"
