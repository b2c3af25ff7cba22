"""Histories: operations with an order, an answer, a begin and an end, stored as JSON.

An order is the invocation of an operation and an answer its response. All times are simulated
seconds. An operation without an end has an unknown outcome: it may take effect at any time after
its begin, or never.
"""

import pathlib

import msgspec

from quillring.kernel.errors import QuillringError

CONFIGURATION = "configuration"
STORES = "stores"


class BadHistory(QuillringError):
    """A file cannot be read as a history."""

    kind = "bad_history"
    status = 400


class Adopt(msgspec.Struct, frozen=True, tag=True):
    """Adopt a configuration under `number`, provided that the current number is `base`.

    It replaces the complete configuration if `is_whole`, and otherwise amends it: `items` are the
    (name, value) pairs to set and `removed` the names to delete. `is_valid` is False for a
    configuration whose content must be refused.
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
    """Drain a zone, or restore it."""

    is_emptied: bool


class ReadZone(msgspec.Struct, frozen=True, tag=True):
    """Read whether a zone is drained."""


class RetireStore(msgspec.Struct, frozen=True, tag=True):
    """Retire a store; refused if too few would remain."""

    store: str


class RestoreStore(msgspec.Struct, frozen=True, tag=True):
    """Restore a retired store."""

    store: str


class ReadStores(msgspec.Struct, frozen=True, tag=True):
    """Read which stores are retired."""


class AcceptLot(msgspec.Struct, frozen=True, tag=True):
    """Submit a lot of `count` items; `digest` identifies its content."""

    digest: str
    count: int


class ReadResults(msgspec.Struct, frozen=True, tag=True):
    """Read the results of a lot from position `start`."""

    start: int


class EndLot(msgspec.Struct, frozen=True, tag=True):
    """End a lot: no results are listed afterwards."""


class ItemRan(msgspec.Struct, frozen=True, tag=True):
    """A replica received an item of the lot; recorded by the replica and not by a client."""


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
    """The order took effect, now or when the same order was sent before."""


class Conflicting(msgspec.Struct, frozen=True, tag=True):
    """The order conflicts with the current state and has no effect.

    `winning` is the number of the current configuration, None for other objects.
    """

    winning: int | None = None


class Invalid(msgspec.Struct, frozen=True, tag=True):
    """The order was refused for its content and has no effect."""


class Missing(msgspec.Struct, frozen=True, tag=True):
    """The object of the order does not exist."""


class NotTaken(msgspec.Struct, frozen=True, tag=True):
    """The order was refused and never takes effect.

    Reasons are a missing majority, capacity, quota, route, or an order that came too late.
    """

    reason: str = ""


class Unknown(msgspec.Struct, frozen=True, tag=True):
    """The outcome of the order is unknown."""


class ConfigurationSeen(msgspec.Struct, frozen=True, tag=True):
    """The configuration that a read returned."""

    number: int
    items: tuple[tuple[str, int], ...]


class ZoneSeen(msgspec.Struct, frozen=True, tag=True):
    """Whether the zone was drained."""

    is_emptied: bool


class StoresSeen(msgspec.Struct, frozen=True, tag=True):
    """The names of the retired stores."""

    retired: tuple[str, ...]


class ResultsSeen(msgspec.Struct, frozen=True, tag=True):
    """The number of items of a lot, and its results from the requested position.

    Each row is (item, state, digest of the text).
    """

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
    """One call by a client to a node, about the object `target`.

    `end` is None if the outcome is unknown.
    """

    client: str
    node: str
    target: str
    order: Order
    begin: float
    end: float | None
    answer: Answer


class Snapshot(msgspec.Struct, frozen=True):
    """The configuration in the memory of a node at one time.

    `incarnation` identifies the process of the node, `index` the log entry that the configuration
    is from, and `number` is 0 if there is none.
    """

    node: str
    incarnation: int
    at: float
    index: int
    number: int
    is_fresh: bool


class History(msgspec.Struct):
    """All operations and snapshots of one run.

    `stores` are (name, zone) pairs, `group_size` is the number of replicas of each part, and
    `steps` are the notes of the simulator about faults.
    """

    seed: int
    operations: list[Operation] = []
    snapshots: list[Snapshot] = []
    stores: tuple[tuple[str, str], ...] = ()
    group_size: int = 3
    steps: list[str] = []

    def operations_by_target(self):
        """Return {object: its operations}; the objects are checked separately."""
        operations_by_target = {}
        for operation in self.operations:
            operations_by_target.setdefault(operation.target, []).append(operation)
        return operations_by_target


def save_history(history, path):
    """Write a history as JSON."""
    data = msgspec.json.format(msgspec.json.encode(history), indent=1)
    pathlib.Path(path).write_bytes(data)


def load_history(path):
    """Read a history; raises BadHistory if the file cannot be read as one."""
    try:
        return msgspec.json.decode(pathlib.Path(path).read_bytes(), type=History)
    except (OSError, msgspec.MsgspecError) as error:
        raise BadHistory(path=str(path), fault=str(error)) from error
