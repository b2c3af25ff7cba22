"""Running the items of open lots, on the core that owns their part, on room left idle."""

from quillring.classes.promises import may_repeat
from quillring.edge.dispatch import prefix_key
from quillring.edge.streams import STALL_MS, check_before_sending, check_line
from quillring.kernel.effects import Next, Open, Signal, Sleep, Wait
from quillring.kernel.troubles import BackendTrouble, Busy, NotSent, Trouble
from quillring.lots.commands import OPEN

ITEMS_AT_ONCE = 4
KEPT_SECONDS = 7 * 86_400
KEPT_WEIGHT = 32 << 20


class RunningItem:
    """One item under way; stopping it closes the replica's stream."""

    __slots__ = ("stopSignal", "handle")

    def __init__(self):
        self.stopSignal = Signal()
        self.handle = None

    def stop(self):
        """Stop the item now; the replica sees its connection close."""
        self.stopSignal.set()
        if self.handle is not None:
            self.handle.close()


class LotRunner:
    """Keeps items of the lots of the owned parts running until each has a result."""

    __slots__ = ("node", "running", "unsent", "endedAt")

    def __init__(self, node):
        self.node = node
        self.running = {}
        self.unsent = set()
        self.endedAt = {}

    def run(self):
        """Script: start items while there is room, and stop those of ended lots."""
        while True:
            yield Sleep(self.node.bounds.beat / 5)
            for owner in self.node.find("duty").owners.values():
                if owner.may_act():
                    self._drop_old(owner)
                    if not self.node.find("duty").is_leaving(self.node.me.name):
                        self._start_items(owner)
            self._stop_ended()

    def _start_items(self, owner):
        openLots = [(n, lot) for n, lot in owner.state["lots"].items() if lot["phase"] == OPEN]
        for name, lot in openLots:
            running = sum(key[:2] == (owner.part, name) for key in self.running)
            waitingNumbers = (
                n for n in range(len(lot["items"]))
                if n not in lot["results"] and (owner.part, name, n) not in self.running
            )
            for number in waitingNumbers:
                if running >= ITEMS_AT_ONCE:
                    break
                running += 1
                key = (owner.part, name, number)
                self.running[key] = RunningItem()
                self.node.spawn(self._run_item(owner, key, lot))

    def _drop_old(self, owner):
        """Forget ended lots after a while, by this owner's own clock."""
        now = self.node.now()
        ended = [n for n, lot in owner.state["lots"].items() if lot["phase"] != OPEN]
        former = {name: at for (part, name), at in self.endedAt.items() if part == owner.part}
        others = {key: at for key, at in self.endedAt.items() if key[0] != owner.part}
        kept = {(owner.part, name): former.get(name, now) for name in ended}
        self.endedAt = {**others, **kept}
        weight = sum(
            len(str(result)) for n in ended for result in owner.state["lots"][n]["results"].values()
        ) if len(ended) != len(former) else 0
        oldest = min(ended, key=lambda n: former.get(n, now), default=None)
        isTooMuch = weight > KEPT_WEIGHT or now - former.get(oldest, now) > KEPT_SECONDS
        if isTooMuch and not owner.queue:
            self.node.spawn(owner.submit({"do": "lot.drop", "lot": oldest}))

    def _is_wanted(self, owner, key):
        lot = owner.state["lots"].get(key[1]) if owner.may_act() else None
        return lot is not None and lot["phase"] == OPEN and key[2] not in lot["results"]

    def _stop_ended(self):
        owners = self.node.find("duty").owners
        for key, item in list(self.running.items()):
            if not self._is_wanted(owners[key[0]], key):
                item.stop()

    def _run_item(self, owner, key, lot):
        try:
            result = yield from self._item_result(owner, key, lot)
            if result is not None:
                yield from owner.submit({
                    "do": "lot.result", "lot": key[1], "n": key[2], "result": result,
                })
        except Trouble as trouble:
            self.node.count("item_troubles")
            self.node.log("debug", "item %s: %s", key, trouble)
            yield Wait(self.running[key].stopSignal, self.node.bounds.beat)
        finally:
            self.running.pop(key, None)

    def _item_result(self, owner, key, lot):
        node, (_, lotName, number) = self.node, key
        entry, service, promise = node.find("layout").entry(lot["entry"])
        endTime = node.now() + promise["time_left_ms"] / 1000
        prefix = entry.get("prefix", "")
        lease = yield from node.find("dispatch").acquire(
            entry["service"], entry["class"], promise, prefix_key(prefix),
            node.now() + node.bounds.news,
        )
        handle = None
        try:
            if not may_repeat(promise):
                answer = yield from owner.submit({
                    "do": "lot.start", "lot": lotName, "n": number, "by": list(owner.ballot),
                    "was_unsent": key in self.unsent,
                })
                if not answer["may_run"]:
                    return {"trouble": "outcome_unknown"}
            check_before_sending(node, lease.replica, endTime)
            if not self._is_wanted(owner, key):
                return None
            stallSeconds = service.get("stall_ms", STALL_MS) / 1000
            inquiryName = f"{lotName}-{number}"
            self.unsent.discard(key)
            lease.mayRunOn = True
            path = lease.replica.path("/v1/generate")
            handle = self.running[key].handle = yield Open(lease.replica.address, path, {
                "inquiry": inquiryName, "prefix": prefix, "prompt": lot["items"][number],
                "from": 0, "max_pieces": 64,
            }, stallSeconds)
            if handle.status == 503:
                lease.mayRunOn = False
                raise Busy(replica=lease.replica.name)
            result = yield from self._read_result(handle, inquiryName, stallSeconds, key)
            lease.mayRunOn = result is None
            return result
        except (Busy, NotSent) as trouble:
            self.unsent.add(key)
            if isinstance(trouble, Busy):
                node.find("replicas").busy(lease.replica)
            raise
        except BackendTrouble:
            if not self.running[key].stopSignal.is_set:
                node.find("replicas").stalled(lease.replica)
            raise
        finally:
            lease.release()
            if handle is not None:
                handle.close()

    def _read_result(self, handle, inquiryName, stallSeconds, key):
        pieces = []
        while not self.running[key].stopSignal.is_set:
            line = yield Next(handle, stallSeconds)
            check_line(line, inquiryName, len(pieces))
            if line.get("end"):
                return {"text": "".join(pieces)}
            pieces.append(line["piece"])
        return None
