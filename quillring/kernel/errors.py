"""Every failure has a type; an error crosses processes and HTTP under its kind."""

from __future__ import annotations

from typing import Any

KINDS: dict[str, type[QuillringError]] = {}


class QuillringError(Exception):
    """Base of all typed failures."""

    kind: str = "trouble"
    status: int = 500
    comes_back: bool = False
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


def rebuild(kind: str, detail: dict[Any, Any]) -> QuillringError:
    """Return the error a peer reported, as its own type."""
    return KINDS.get(kind, QuillringError)(**{str(name): value for name, value in detail.items()})


class Unreachable(QuillringError):
    """No route leads to the node."""

    kind = "unreachable"
    status = 503
    comes_back = True


class TimedOut(QuillringError):
    """No answer came in time; whether it ran is unknown."""

    kind = "timed_out"
    status = 504


class UnknownService(QuillringError):
    """The node offers no service of this name."""

    kind = "unknown_service"


class BadWire(QuillringError):
    """A datagram or frame that can't be read."""

    kind = "bad_wire"


class BadSetting(QuillringError):
    """A fault of the settings file or flags; all faults come as one exception group."""

    kind = "bad_setting"


class BadRequest(QuillringError):
    """The inquiry is malformed; the field says where."""

    kind = "bad_inquiry"
    status = 400


class TooLarge(QuillringError):
    """The body is over the limit."""

    kind = "too_large"
    status = 413


class NotFound(QuillringError):
    """Nothing of this name is known."""

    kind = "not_found"
    status = 404


class WrongMethod(QuillringError):
    """The path is known, but not under this method."""

    kind = "wrong_method"
    status = 405


class Refused(QuillringError):
    """A final refusal: the work never ran and will not run."""

    kind = "refused"
    status = 503
    comes_back = True


class OutcomeUnknown(QuillringError):
    """The work may or may not have run; it was not tried again."""

    kind = "outcome_unknown"
    status = 502


class Conflict(QuillringError):
    """Another change won; the winning version is named."""

    kind = "conflict"
    status = 409


class NotOwner(QuillringError):
    """The node does not own the part."""

    kind = "not_owner"
    status = 503
    comes_back = True


class Fenced(QuillringError):
    """A higher ballot was seen; this owner writes nothing more."""

    kind = "fenced"
    status = 503
    comes_back = True


class NoMajority(QuillringError):
    """Too few stores of the part answered; a write may still take effect."""

    kind = "no_majority"
    status = 503
    comes_back = True


class NotFounded(QuillringError):
    """The fleet was not founded yet."""

    kind = "not_founded"
    status = 503
    comes_back = True


class DiskError(QuillringError):
    """The data folder can't be written or read."""

    kind = "disk_trouble"
    status = 507


class Damaged(DiskError):
    """The data folder is damaged; the repair step is named."""

    kind = "damaged"


class BackendError(QuillringError):
    """The replica broke off or answered with nonsense."""

    kind = "backend_trouble"
    status = 502


class Busy(BackendError):
    """The replica had no room and took nothing."""

    kind = "busy"


class StaleConnection(BackendError):
    """A kept connection ended without a byte of an answer; the request may have run."""

    kind = "stale_connection"


class NotSent(BackendError):
    """The inquiry provably never reached the replica."""

    kind = "not_sent"
