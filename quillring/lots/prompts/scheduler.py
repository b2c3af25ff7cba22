"""Scheduling of the items of open lots by the core that leads their part.

At most ITEMS_AT_ONCE items of a lot run concurrently.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator, Sequence
from itertools import islice
from typing import TYPE_CHECKING, Any

from quillring.classes.class_terms import may_retry
from quillring.edge.dispatcher import prefix_key
from quillring.edge.stream_handlers import DEFAULT_STALL_MS, check_before_sending, check_line
from quillring.kernel.effects import FetchJson, OpenStream, ReadLine, Signal, Sleep, Wait
from quillring.kernel.errors import BackendError, Busy, NotSent, QuillringError
from quillring.kernel.records import NamedTuple
from quillring.lots.prompts.commands import CANCEL, CancelLot, StartItem, Wire, WriteResult
from quillring.lots.prompts.lot_table import OPEN, LotRecord, lot_records
from quillring.lots.prompts.retention import Retention
from quillring.quorum.values import Ballot

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

ITEMS_AT_ONCE = 4
MAX_RESULT_CHARACTERS = 1 << 18
MAX_PIECES = 64
BUSY_STATUS = 503


class ItemKey(NamedTuple):
    """The key of an item, unique across all parts."""

    part: str
    lot: str
    number: int


class RunningItem:
    """An item in flight, which owns the stream from its replica.

    `stop_signal` is set when the item is to be stopped; `handle` is the open stream or None.
    """

    __slots__ = ("stop_signal", "handle")

    def __init__(self) -> None:
        self.stop_signal = Signal()
        self.handle: Any = None

    def stop(self) -> None:
        """Stop the item; the replica sees the connection close."""
        self.stop_signal.set()
        self.close()

    def close(self) -> None:
        """Close the stream from the replica, if it is open."""
        if self.handle is not None:
            self.handle.close()


class PromptLotScheduler:
    """Runs the items of open lots, in the parts that this node leads, until each has a result.

    Attributes
    ----------
    running
        The items in flight, by key.
    unsent
        Keys of the items whose last run reached no replica.
    first_pending
        The lowest item number without a result, by part and lot.
    retention
        Size accounting and expiry of the lots.
    """

    __slots__ = ("node", "running", "unsent", "first_pending", "retention")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.running: dict[ItemKey, RunningItem] = {}
        self.unsent: set[ItemKey] = set()
        self.first_pending: dict[tuple[str, str], int] = {}
        self.retention: Retention = node.offer("keeping", Retention(node))

    def run(self) -> Coroutine:
        """Periodically drop expired lots, start pending items and stop unwanted ones."""
        ownership = self.node.find("ownership")
        while True:
            yield Sleep(self.node.bounds.heartbeat_interval / 5)
            for leader in ownership.leaders.values():
                if leader.has_lease():
                    self.retention.drop_expired(leader)
                    if not ownership.is_leaving(self.node.me.name):
                        self._start_items(leader)
            self._stop_ended()

    def _start_items(self, leader: Any) -> None:
        """Start pending items of a part's open lots, up to ITEMS_AT_ONCE for each lot."""
        part, lots = leader.part, lot_records(leader.state)
        open_lots = {name: lot for name, lot in lots.items() if lot["phase"] == OPEN}
        running = Counter((key.part, key.lot) for key in self.running)
        self.first_pending = {
            (other_part, name): number
            for (other_part, name), number in self.first_pending.items()
            if other_part != part or name in open_lots
        }
        for name, lot in open_lots.items():
            free_slots = max(0, ITEMS_AT_ONCE - running[part, name])
            for number in islice(self._pending_numbers(part, name, lot), free_slots):
                key = ItemKey(part, name, number)
                self.running[key] = RunningItem()
                self.node.spawn(self._run_item(leader, key, lot))

    def _pending_numbers(self, part: str, name: str, lot: LotRecord) -> Iterator[int]:
        """Yield the numbers of items that have no result and are not in flight.

        `first_pending` avoids scanning the leading items with results on every call.
        """
        first = self.first_pending.get((part, name), 0)
        while first in lot["results"]:
            first += 1
        self.first_pending[part, name] = first
        for number in range(first, len(lot["items"])):
            if number not in lot["results"] and ItemKey(part, name, number) not in self.running:
                yield number

    def on_batch(self, leader: Any, batch: Sequence[Wire]) -> None:
        """Make replicas stop the items of cancelled lots, whichever leader sent them.

        Closing this node's own connections is not enough, because a former leader whose process is
        paused keeps its connections open.
        """
        for wire in batch:
            if wire["do"] != CANCEL:
                continue
            command = CancelLot.from_wire(wire)
            lot = lot_records(leader.state).get(command.lot)
            if lot is not None and lot["phase"] != OPEN:
                self.node.spawn(self._tell_replicas(command.lot, lot["entry"]))

    def _tell_replicas(self, lot_name: str, route_name: str) -> Coroutine:
        """Stop the running items of a lot on every available replica of its service."""
        route, _service, _terms = self.node.find("layout").route(route_name)
        replicas = self.node.find("replicas").available_before(route["service"], math.inf)
        for replica in replicas:
            self.node.spawn(self._stop_items_on_replica(replica, f"{lot_name}-"))
        return
        yield  # Unreachable; makes this method a generator.

    def _stop_items_on_replica(self, replica: Any, prefix: str) -> Coroutine:
        """Make a replica stop the requests whose id has the prefix; only count a failure."""
        try:
            yield FetchJson(
                replica.address,
                "POST",
                replica.path("/v1/stop", inquiry=prefix),
                {"inquiries_of": prefix},
                self.node.bounds.shutdown / 3,
                True,
            )
        except BackendError:
            self.node.count("stops_not_heard")

    def _is_wanted(self, leader: Any, key: ItemKey) -> bool:
        """Return whether the item is pending in an open lot and this leader's lease is valid."""
        if not leader.has_lease():
            return False
        lot = lot_records(leader.state).get(key.lot)
        return lot is not None and lot["phase"] == OPEN and key.number not in lot["results"]

    def _stop_ended(self) -> None:
        """Stop the running items that are no longer wanted."""
        leaders = self.node.find("ownership").leaders
        for key, item in list(self.running.items()):
            if not self._is_wanted(leaders[key.part], key):
                item.stop()

    def _run_item(self, leader: Any, key: ItemKey, lot: LotRecord) -> Coroutine:
        """Run an item once and commit its result; after an error, delay its next start."""
        try:
            result = yield from self._execute_item(leader, key, lot)
            if result is not None:
                yield from leader.submit(WriteResult(key.lot, key.number, result).to_wire())
        except QuillringError as error:
            self.node.count("item_troubles")
            self.node.log("debug", "item %s failed: %s", tuple(key), error)
            yield Wait(self.running[key].stop_signal, self.node.bounds.heartbeat_interval)
        finally:
            self.running.pop(key, None)

    def _execute_item(self, leader: Any, key: ItemKey, lot: LotRecord) -> Coroutine:
        """Run an item on a replica; return its result, or None if it is no longer wanted."""
        node, item = self.node, self.running[key]
        route, service, terms = node.find("layout").route(lot["entry"])
        deadline = node.now() + terms["time_left_ms"] / 1000
        prefix = route.get("prefix", "")
        lease = yield from node.find("dispatch").acquire(
            route["service"],
            route["class"],
            terms,
            prefix_key(prefix),
            node.now() + node.bounds.propagation,
        )
        try:
            if not may_retry(terms) and not (yield from self._mark_started(leader, key)):
                return {"trouble": "outcome_unknown"}
            check_before_sending(node, lease.replica, deadline)
            if not self._is_wanted(leader, key):
                return None
            stall_seconds = service.get("stall_ms", DEFAULT_STALL_MS) / 1000
            body = generation_request(key, prefix, lot["items"][key.number])
            return (yield from self._generate(key, lease, body, stall_seconds))
        except (Busy, NotSent) as error:
            self.unsent.add(key)
            if isinstance(error, Busy):
                node.find("replicas").mark_full(lease.replica)
            raise
        except BackendError:
            if not item.stop_signal.is_set:
                node.find("replicas").eject(lease.replica)
            raise
        finally:
            lease.release()
            item.close()

    def _mark_started(self, leader: Any, key: ItemKey) -> Coroutine:
        """Commit the start of an item that must not run twice; return whether it may run now."""
        ballot, was_unsent = Ballot.from_wire(leader.ballot), key in self.unsent
        command = StartItem(key.lot, key.number, ballot, was_unsent)
        answer = yield from leader.submit(command.to_wire())
        return answer["may_run"]

    def _generate(
        self, key: ItemKey, lease: Any, body: dict[str, Any], stall_seconds: float
    ) -> Coroutine:
        """Send the item to the leased replica and read its result."""
        item, replica = self.running[key], lease.replica
        self.unsent.discard(key)
        lease.may_still_run = True
        path = replica.path("/v1/generate")
        item.handle = yield OpenStream(replica.address, path, body, stall_seconds)
        if item.handle.status == BUSY_STATUS:
            lease.may_still_run = False
            raise Busy(replica=replica.name)
        result = yield from self._read_result(item, body["inquiry"], stall_seconds)
        lease.may_still_run = result is None
        return result

    def _read_result(self, item: RunningItem, request_name: str, stall_seconds: float) -> Coroutine:
        """Read the stream to its end; return the result, or None if the item was stopped."""
        pieces: list[str] = []
        length = 0
        while not item.stop_signal.is_set:
            line = yield ReadLine(item.handle, stall_seconds)
            check_line(line, request_name, len(pieces))
            if line.get("end"):
                return {"text": "".join(pieces)}
            pieces.append(line["piece"])
            length += len(line["piece"])
            if length > MAX_RESULT_CHARACTERS:
                return {"trouble": "too_large"}
        return None


def generation_request(key: ItemKey, prefix: str, prompt: str) -> dict[str, Any]:
    """Return the body of an item's request to a replica."""
    return {
        "inquiry": f"{key.lot}-{key.number}",
        "prefix": prefix,
        "prompt": prompt,
        "from": 0,
        "max_pieces": MAX_PIECES,
    }
