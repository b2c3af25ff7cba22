"""Running the items of open lots, on the core that owns their part, on room left idle."""

import math
from collections import Counter
from itertools import islice

from quillring.classes.class_terms import may_repeat
from quillring.edge.dispatcher import prefix_key
from quillring.edge.stream_handlers import STALL_MS, check_before_sending, check_line
from quillring.kernel.effects import FetchJson, OpenStream, ReadLine, Signal, Sleep, Wait
from quillring.kernel.errors import BackendError, Busy, NotSent, QuillringError
from quillring.lots.prompts.retention import Retention
from quillring.lots.prompts.state_machine import OPEN

ITEMS_AT_ONCE = 4
RESULT_LIMIT = 1 << 18


class RunningItem:
    """One item under way; stopping it closes the replica's stream."""

    __slots__ = ("stop_signal", "handle")

    def __init__(self):
        self.stop_signal = Signal()
        self.handle = None

    def stop(self):
        """Stop the item now; the replica sees its connection close."""
        self.stop_signal.set()
        if self.handle is not None:
            self.handle.close()


class PromptLotScheduler:
    """Keeps items of the lots of the owned parts running until each has a result."""

    __slots__ = ("node", "running", "unsent", "first_open", "keeping")

    def __init__(self, node):
        self.node = node
        self.running = {}
        self.unsent = set()
        self.first_open = {}
        self.keeping = node.offer("keeping", Retention(node))

    def run(self):
        """Coroutine: start items while there is room, and stop those of ended lots."""
        while True:
            yield Sleep(self.node.bounds.heartbeat_interval / 5)
            for owner in self.node.find("ownership").leaders.values():
                if owner.has_lease():
                    self.keeping.drop_old(owner)
                    if not self.node.find("ownership").is_leaving(self.node.me.name):
                        self._start_items(owner)
            self._stop_ended()

    def _start_items(self, owner):
        open_lots = {n: lot for n, lot in owner.state["lots"].items() if lot["phase"] == OPEN}
        running = Counter(key[:2] for key in self.running)
        self.first_open = {
            place: n
            for place, n in self.first_open.items()
            if place[0] != owner.part or place[1] in open_lots
        }
        for name, lot in open_lots.items():
            room = ITEMS_AT_ONCE - running[owner.part, name]
            for number in islice(self._waiting(owner.part, name, lot), max(0, room)):
                key = (owner.part, name, number)
                self.running[key] = RunningItem()
                self.node.spawn(self._run_item(owner, key, lot))

    def _waiting(self, part, name, lot):
        """Yield the numbers that neither have a result nor run; what lies done is passed once."""
        first = self.first_open.get((part, name), 0)
        while first in lot["results"]:
            first += 1
        self.first_open[part, name] = first
        for number in range(first, len(lot["items"])):
            if number not in lot["results"] and (part, name, number) not in self.running:
                yield number

    def on_batch(self, owner, batch):
        """Have replicas stop the items of lots that were ended early, whoever runs them.

        A former owner that is frozen holds its connections open and can't close them.
        """
        for command in batch:
            lot = owner.state["lots"].get(command.get("lot"))
            if command["do"] == "lot.cancel" and lot is not None and lot["phase"] != OPEN:
                self.node.spawn(self._tell_replicas(command["lot"], lot["entry"]))

    def _tell_replicas(self, lot_name, route_name):
        route, _, _ = self.node.find("layout").route(route_name)
        replicas = self.node.find("replicas").available_before(route["service"], math.inf)
        for replica in replicas:
            self.node.spawn(self._tell_replica(replica, f"{lot_name}-"))
        return
        yield

    def _tell_replica(self, replica, prefix):
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

    def _is_wanted(self, owner, key):
        lot = owner.state["lots"].get(key[1]) if owner.has_lease() else None
        return lot is not None and lot["phase"] == OPEN and key[2] not in lot["results"]

    def _stop_ended(self):
        owners = self.node.find("ownership").leaders
        for key, item in list(self.running.items()):
            if not self._is_wanted(owners[key[0]], key):
                item.stop()

    def _run_item(self, owner, key, lot):
        try:
            result = yield from self._item_result(owner, key, lot)
            if result is not None:
                yield from owner.submit(
                    {
                        "do": "lot.result",
                        "lot": key[1],
                        "n": key[2],
                        "result": result,
                    }
                )
        except QuillringError as error:
            self.node.count("item_troubles")
            self.node.log("debug", "item %s: %s", key, error)
            yield Wait(self.running[key].stop_signal, self.node.bounds.heartbeat_interval)
        finally:
            self.running.pop(key, None)

    def _item_result(self, owner, key, lot):
        node, (_, lot_name, number) = self.node, key
        route, service, promise = node.find("layout").route(lot["entry"])
        end_time = node.now() + promise["time_left_ms"] / 1000
        prefix = route.get("prefix", "")
        lease = yield from node.find("dispatch").acquire(
            route["service"],
            route["class"],
            promise,
            prefix_key(prefix),
            node.now() + node.bounds.propagation,
        )
        handle = None
        try:
            if not may_repeat(promise):
                answer = yield from owner.submit(
                    {
                        "do": "lot.start",
                        "lot": lot_name,
                        "n": number,
                        "by": list(owner.ballot),
                        "was_unsent": key in self.unsent,
                    }
                )
                if not answer["may_run"]:
                    return {"trouble": "outcome_unknown"}
            check_before_sending(node, lease.replica, end_time)
            if not self._is_wanted(owner, key):
                return None
            stall_seconds = service.get("stall_ms", STALL_MS) / 1000
            request_name = f"{lot_name}-{number}"
            self.unsent.discard(key)
            lease.may_still_run = True
            path = lease.replica.path("/v1/generate")
            handle = self.running[key].handle = yield OpenStream(
                lease.replica.address,
                path,
                {
                    "inquiry": request_name,
                    "prefix": prefix,
                    "prompt": lot["items"][number],
                    "from": 0,
                    "max_pieces": 64,
                },
                stall_seconds,
            )
            if handle.status == 503:
                lease.may_still_run = False
                raise Busy(replica=lease.replica.name)
            result = yield from self._read_result(handle, request_name, stall_seconds, key)
            lease.may_still_run = result is None
            return result
        except (Busy, NotSent) as error:
            self.unsent.add(key)
            if isinstance(error, Busy):
                node.find("replicas").note_full(lease.replica)
            raise
        except BackendError:
            if not self.running[key].stop_signal.is_set:
                node.find("replicas").eject(lease.replica)
            raise
        finally:
            lease.release()
            if handle is not None:
                handle.close()

    def _read_result(self, handle, request_name, stall_seconds, key):
        pieces, weight = [], 0
        while not self.running[key].stop_signal.is_set:
            line = yield ReadLine(handle, stall_seconds)
            check_line(line, request_name, len(pieces))
            if line.get("end"):
                return {"text": "".join(pieces)}
            pieces.append(line["piece"])
            weight += len(line["piece"])
            if weight > RESULT_LIMIT:
                return {"trouble": "too_large"}
        return None
