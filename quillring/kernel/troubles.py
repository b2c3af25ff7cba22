"""Every failure has a type; a trouble crosses processes and HTTP under its kind."""

KINDS = {}


class Trouble(Exception):
    """Base of all typed failures."""

    kind = "trouble"
    status = 500
    comes_back = False
    is_final = False

    def __init__(self, **detail):
        super().__init__(self.kind, detail)
        self.detail = detail

    def __init_subclass__(cls, **options):
        super().__init_subclass__(**options)
        KINDS[cls.kind] = cls

    def __str__(self):
        fields = ", ".join(f"{name}={value}" for name, value in self.detail.items())
        return f"{self.kind}: {fields}" if fields else self.kind

    def to_json(self):
        """Return the JSON body under which callers and operators see the trouble."""
        return {"trouble": self.kind, **self.detail}


def rebuild(kind, detail):
    """Return the trouble a peer reported, as its own type."""
    return KINDS.get(kind, Trouble)(**{str(name): value for name, value in detail.items()})


class Unreachable(Trouble):
    """No route leads to the node."""

    kind = "unreachable"
    status = 503
    comes_back = True


class TimedOut(Trouble):
    """No answer came in time; whether it ran is unknown."""

    kind = "timed_out"
    status = 504


class UnknownService(Trouble):
    """The node offers no service of this name."""

    kind = "unknown_service"


class BadWire(Trouble):
    """A datagram or frame that can't be read."""

    kind = "bad_wire"


class BadSetting(Trouble):
    """A fault of the settings file or flags; all faults come as one exception group."""

    kind = "bad_setting"


class BadInquiry(Trouble):
    """The inquiry is malformed; the field says where."""

    kind = "bad_inquiry"
    status = 400


class TooLarge(Trouble):
    """The body is over the limit."""

    kind = "too_large"
    status = 413


class NotFound(Trouble):
    """Nothing of this name is known."""

    kind = "not_found"
    status = 404


class WrongMethod(Trouble):
    """The path is known, but not under this method."""

    kind = "wrong_method"
    status = 405


class Refused(Trouble):
    """A final refusal: the work never ran and will not run."""

    kind = "refused"
    status = 503
    comes_back = True


class OutcomeUnknown(Trouble):
    """The work may or may not have run; it was not tried again."""

    kind = "outcome_unknown"
    status = 502


class Conflict(Trouble):
    """Another change won; the winning version is named."""

    kind = "conflict"
    status = 409


class NotOwner(Trouble):
    """The node does not own the part."""

    kind = "not_owner"
    status = 503
    comes_back = True


class Fenced(Trouble):
    """A higher ballot was seen; this owner writes nothing more."""

    kind = "fenced"
    status = 503
    comes_back = True


class NoMajority(Trouble):
    """Too few stores of the part answered; a write may still take effect."""

    kind = "no_majority"
    status = 503
    comes_back = True


class NotFounded(Trouble):
    """The fleet was not founded yet."""

    kind = "not_founded"
    status = 503
    comes_back = True


class DiskTrouble(Trouble):
    """The data folder can't be written or read."""

    kind = "disk_trouble"
    status = 507


class Damaged(DiskTrouble):
    """The data folder is damaged; the repair step is named."""

    kind = "damaged"


class BackendTrouble(Trouble):
    """The replica broke off or answered with nonsense."""

    kind = "backend_trouble"
    status = 502


class Busy(BackendTrouble):
    """The replica had no room and took nothing."""

    kind = "busy"


class NotSent(BackendTrouble):
    """The inquiry provably never reached the replica."""

    kind = "not_sent"
