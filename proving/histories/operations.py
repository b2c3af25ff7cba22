"""What a history is made of: orders, answers, and operations with their begin and end.

All times are simulated seconds. An operation without an end has an unknown outcome: it may take
effect at any time after its begin, or never.
"""

import pathlib

import msgspec

from quillring.kernel.errors import QuillringError

CONFIGURATION = "configuration"
STORES = "stores"


class BadHistory(QuillringError):
    """A file that holds no history."""

    kind = "bad_history"
    status = 400


class Adopt(msgspec.Struct, frozen=True, tag=True):
    """Adopt a configuration, whole or as an amendment, on top of the version `base`.

    `items` are (name, value) pairs that are set and `removed` names that go; `is_valid` is False
    for a configuration that must be refused for its content.
    """

    number: int
    base: int
    is_whole: bool
    items: tuple[tuple[str, int], ...]
    removed: tuple[str, ...] = ()
    is_valid: bool = True


class FetchConfiguration(msgspec.Struct, frozen=True, tag=True):
    """Read the newest configuration."""


class MarkZone(msgspec.Struct, frozen=True, tag=True):
    """Empty a zone, or restore it."""

    is_emptied: bool


class ReadZone(msgspec.Struct, frozen=True, tag=True):
    """Read whether a zone is emptied."""


class RetireStore(msgspec.Struct, frozen=True, tag=True):
    """Retire a store; refused when too few would remain."""

    store: str


class RestoreStore(msgspec.Struct, frozen=True, tag=True):
    """Take the retirement of a store back."""

    store: str


class ReadStores(msgspec.Struct, frozen=True, tag=True):
    """Read which stores are retired."""


class AcceptLot(msgspec.Struct, frozen=True, tag=True):
    """Hand a lot in; two lots of one name with different content have different digests."""

    digest: str
    count: int


class ReadResults(msgspec.Struct, frozen=True, tag=True):
    """Read the results of a lot from a position on."""

    start: int


class EndLot(msgspec.Struct, frozen=True, tag=True):
    """End a lot: nothing is listed afterwards."""


class ItemRan(msgspec.Struct, frozen=True, tag=True):
    """Seen at a replica: an item of the lot was sent there."""


Order = (
    Adopt
    | FetchConfiguration
    | MarkZone
    | ReadZone
    | RetireStore
    | RestoreStore
    | ReadStores
    | AcceptLot
    | ReadResults
    | EndLot
    | ItemRan
)
READS = (FetchConfiguration, ReadZone, ReadStores, ReadResults)


class Done(msgspec.Struct, frozen=True, tag=True):
    """The order took effect, now or in an earlier sending of the same order."""


class Conflicting(msgspec.Struct, frozen=True, tag=True):
    """The order lost against the version `winning`; it has no effect."""

    winning: int | None = None


class Invalid(msgspec.Struct, frozen=True, tag=True):
    """The order's content was refused; it has no effect."""


class Missing(msgspec.Struct, frozen=True, tag=True):
    """What the order names does not exist."""


class NotTaken(msgspec.Struct, frozen=True, tag=True):
    """The order was refused for want of a majority, room or quota; it never takes effect."""

    reason: str = ""


class Unknown(msgspec.Struct, frozen=True, tag=True):
    """Nobody told what became of the order."""


class ConfigurationSeen(msgspec.Struct, frozen=True, tag=True):
    """The configuration that a read returned."""

    number: int
    items: tuple[tuple[str, int], ...]


class ZoneSeen(msgspec.Struct, frozen=True, tag=True):
    """Whether a zone was emptied when it was read."""

    is_emptied: bool


class StoresSeen(msgspec.Struct, frozen=True, tag=True):
    """The stores that were retired when they were read."""

    retired: tuple[str, ...]


class ResultsSeen(msgspec.Struct, frozen=True, tag=True):
    """How many items a lot has, and [item, state, digest of the text] from the start asked for."""

    count: int
    rows: tuple[tuple[str, str, str], ...]


Answer = (
    Done
    | Conflicting
    | Invalid
    | Missing
    | NotTaken
    | Unknown
    | ConfigurationSeen
    | ZoneSeen
    | StoresSeen
    | ResultsSeen
)


class Operation(msgspec.Struct, frozen=True):
    """One call: who sent it where, about which object, when it began and how it ended."""

    client: str
    node: str
    target: str
    order: Order
    begin: float
    end: float | None
    answer: Answer


class Snapshot(msgspec.Struct, frozen=True):
    """The configuration that one life of a node's process held at a moment."""

    node: str
    incarnation: int
    at: float
    index: int
    number: int
    is_fresh: bool


class History(msgspec.Struct):
    """All operations and snapshots of one run."""

    seed: int
    operations: list[Operation] = []
    snapshots: list[Snapshot] = []
    stores: tuple[tuple[str, str], ...] = ()
    group_size: int = 3
    steps: list[str] = []

    def by_target(self):
        """Return {object: its operations}; each object is checked by itself."""
        parted = {}
        for operation in self.operations:
            parted.setdefault(operation.target, []).append(operation)
        return parted


def save_history(history, path):
    """Write a history as JSON."""
    data = msgspec.json.format(msgspec.json.encode(history), indent=1)
    pathlib.Path(path).write_bytes(data)


def load_history(path):
    """Read a history; raises BadHistory for a file that holds none."""
    try:
        return msgspec.json.decode(pathlib.Path(path).read_bytes(), type=History)
    except (OSError, msgspec.MsgspecError) as error:
        raise BadHistory(path=str(path), fault=str(error)) from error
