"""The leader's side: which item runs next, at which replica, sent by which core."""

import math

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import NotOwner, NotSent, QuillringError, TimedOut
from quillring.lots.http_requests.backlog import Backlog
from quillring.lots.http_requests.concurrency_limits import ConcurrencyLimits
from quillring.lots.http_requests.item_executor import BROKEN, NOT_RUN, UNSENT
from quillring.lots.http_requests.item_table import DispatchedRun, ItemTable
from quillring.lots.http_requests.lot_placement import held_limit_of_part
from quillring.lots.http_requests.lot_table import held_bytes, lot_records
from quillring.lots.http_requests.worker_selection import LotExpiry, choose_worker, is_lot_ended

PAUSES = {NOT_RUN: 0.2, UNSENT: 0.1, BROKEN: 0.05}
NEAR = 2.5
SETTLED = 0.3
KEPT_SECONDS, DROPS_AT_ONCE = 900, 8
CALM_URGENCY, NEAR_URGENCY = 7, 6
LOT_CHANGES = frozenset(
    ("raw.accept", "raw.result", "raw.failed", "raw.expire", "raw.end", "raw.drop")
)


class LotScheduler:
    """Keeps the items of the led parts' lots running until each has a result."""

    __slots__ = ("node", "ledgers", "limits", "demand", "ends")

    def __init__(self, node):
        self.node = node
        self.ledgers = {}
        self.limits = ConcurrencyLimits(node)
        self.demand = node.offer("raw_demand", Backlog(node))
        self.ends = LotExpiry(node)
        node.handle("raw.report", self.on_report)
        node.find("nifty").listeners.append(self._on_graph)

    def _on_graph(self, graph):
        """Look after the runs at once: a worker may be lost."""
        for ledger in self.ledgers.values():
            ledger.renewed_at = -math.inf

    def on_batch(self, owner, batch):
        """Follow what was committed; stop what needs to run no more."""
        if not owner.is_leader:
            if self.ledgers.get(owner.part) is not None and self.ledgers[owner.part].owner is owner:
                del self.ledgers[owner.part]
                self.demand.note(owner.part, None)
            return
        ledger = self.ledgers.get(owner.part)
        if ledger is None or ledger.owner is not owner:
            ledger = self.ledgers[owner.part] = ItemTable(self.node, owner)
            self.demand.note(owner.part, ledger)
            return
        done_runs = {command["run"] for command in batch if command["do"] == "raw.result"}
        for command in batch:
            if command["do"] not in LOT_CHANGES:
                continue
            item = ledger.find(command["lot"], command.get("n"))
            if command["do"] == "raw.failed" and item is not None:
                self._give_back(ledger, item, command["run"], 0.3)
            left_runs = ledger.sync(command["lot"])
            stray_numbers = [item.number for item, run in left_runs if run.id not in done_runs]
            for _, run in left_runs:
                if run.id in done_runs:
                    self.limits.worked(run)
            if stray_numbers or command["do"] == "raw.end":
                self.node.spawn(self._stop(command["lot"], stray_numbers))
        self.demand.note(owner.part, ledger)

    def _stop(self, lot_name, numbers):
        """Coroutine: have every core stop the runs of a lot, told twice since words may be lost."""
        is_ended = is_lot_ended(self.node, lot_name)
        body = {"lot": lot_name, "numbers": None if is_ended else numbers}
        calls = [(name, "raw.stop", body) for name in self._cores()]
        yield from self.node.gather(calls, len(calls), self.node.bounds.call_timeout, True)

    def _cores(self):
        ownership, nifty = self.node.find("ownership"), self.node.find("nifty")
        return [name for name in ownership.cores() if nifty.reaches(name)]

    def run(self):
        """Coroutine: start what waits, follow what runs, list what is over."""
        ownership, me, bounds = self.node.find("ownership"), self.node.me, self.node.bounds
        while True:
            yield Sleep(bounds.gossip_interval / 2)
            for ledger in list(self.ledgers.values()):
                if not ledger.owner.has_lease():
                    continue
                seconds = bounds.read_timeout if ledger.is_reported else bounds.call_timeout
                if self.node.now() - ledger.renewed_at >= seconds:
                    ledger.renewed_at = self.node.now()
                    self._look_after(ledger)
                if ledger.is_reported and ledger.lots and not ownership.is_leaving(me.name):
                    self._start_items(ledger)

    def _look_after(self, ledger):
        """Look after what only time changes: runs that are lost, lots past their time."""
        if ledger.lots:
            self.node.spawn(self._renew(ledger))
            for name in self.ends.lots_over(ledger):
                self.node.spawn(ledger.owner.submit({"do": "raw.expire", "lot": name}))
        ledger.is_reported = ledger.is_reported or not ledger.lots
        if held_bytes(ledger.owner.state) > held_limit_of_part(self.node) / 2:
            for name in ledger.long_over(KEPT_SECONDS)[:DROPS_AT_ONCE]:
                self.node.spawn(ledger.owner.submit({"do": "raw.drop", "lot": name}))

    def _renew(self, ledger):
        """Ask all cores what they run; take over, follow, or run anew what is missing."""
        owner, asked_at = ledger.owner, self.node.now()
        body = {"part": owner.part, "ballot": list(owner.ballot)}
        calls = [(name, "raw.renew", body) for name in self._cores()]
        replies = yield from self.node.gather(
            calls, len(calls), self.node.bounds.call_timeout, True
        )
        heard = {t: rows for t, rows in replies.items() if not isinstance(rows, QuillringError)}
        reported = {
            (row[0], row[1]): (worker, row) for worker, rows in heard.items() for row in rows
        }
        now = self.node.now()
        for (lot_name, number), (worker, row) in reported.items():
            item = ledger.find(lot_name, number)
            if item is not None and item.run is None:
                self.node.count("raw_runs_taken_over")
                ledger.begin_run(item, DispatchedRun(row[2], worker, row[3], row[4], now))
            elif item is not None and item.run.id == row[2]:
                item.run.heard_at = now
            elif item is None and owner.is_leader:
                self.node.spawn(self._stop(lot_name, [number]))
        ledger.is_reported = True
        for item in ledger.running():
            is_answered = item.run.worker in heard and item.run.started_at < asked_at - SETTLED
            is_gone = not self.node.find("nifty").reaches(item.run.worker)
            if (item.lot, item.number) not in reported and (
                is_answered
                or is_gone
                or now - item.run.heard_at > self.node.bounds.read_timeout * 3
            ):
                self.node.count("raw_runs_lost")
                ledger.end_run(item)

    def _start_items(self, ledger):
        """Start what has room, lot by lot; a service without room is passed over at once."""
        now, forwards, full, portions = self.node.now(), self.node.find("forwards"), set(), {}
        waiting = [(lot, lot.waiting(now)) for lot in ledger.order(now)]
        if not any(items for _, items in waiting) or not self.node.find("freshness").is_fresh():
            return
        cores = self._workers(ledger)
        for lot, items in waiting:
            forward, is_near = forwards.find_by_name(lot.forward), lot.due_at - now < NEAR
            for item in items if forward is not None else ():
                service = forward.pick_service(str(item.number))
                if (service, is_near) in full:
                    continue
                avoided_names = item.avoided_at(now)
                if service not in portions:
                    slots = self.limits.slots(service, now)
                    portions[service] = self.demand.portion(ledger.owner.part, service, slots)
                portion = portions[service]
                replica = self.limits.choose(service, ledger, is_near, avoided_names, portion, now)
                if replica is not None:
                    self.limits.started(replica, portion, now)
                    self._begin(ledger, item, forward, replica, is_near, cores)
                elif not avoided_names:
                    full.add((service, is_near))

    def _begin(self, ledger, item, forward, replica, is_near, cores):
        worker, now = choose_worker(ledger, cores, replica), self.node.now()
        if worker is None:
            return
        run_id = f"{self.node.runtime.random.getrandbits(64):016x}"
        run = DispatchedRun(run_id, worker, replica.service, replica.name, now)
        ledger.begin_run(item, run)
        self.node.spawn(self._start(ledger, item, run, forward, is_near))

    def _workers(self, ledger):
        ownership = self.node.find("ownership")
        members = self.node.find("nifty").roster.members
        names = [n for n in ownership.candidates(ledger.owner.part) if not ownership.is_leaving(n)]
        return [(n, members[n].zone) for n in names if not ledger.rests(n)]

    def _start(self, ledger, item, run, forward, is_near):
        """Coroutine: hand a run to its worker; what was surely not begun waits again."""
        owner, lot = ledger.owner, lot_records(ledger.owner.state).get(item.lot)
        if lot is None or item.number not in lot["items"] or item.run is not run:
            return
        if not owner.has_lease():
            return ledger.end_run(item)
        body = {
            "part": owner.part,
            "ballot": list(owner.ballot),
            "lot": item.lot,
            "n": item.number,
            "run": run.id,
            "service": run.service,
            "replica": run.replica,
            "forward": forward.name,
            "host": lot["host"],
            "item": lot["items"][item.number][:4],
            "last": item.last,
            "text": item.text,
            "urgency": NEAR_URGENCY if is_near else CALM_URGENCY,
        }
        try:
            answer = yield from self.node.call(
                run.worker, "raw.run", body, self.node.bounds.read_timeout
            )
            run.id = answer["run"]
        except TimedOut:
            self.node.count("raw_starts_unsure")
            ledger.rest_worker(run.worker)
        except NotSent:
            self.limits.note(run, UNSENT, self.node.now())
            self._give_back(ledger, item, run.id, PAUSES[UNSENT])
        except QuillringError as error:
            self.node.count(f"raw_starts_{error.kind}")
            ledger.rest_worker(run.worker)
            if item.run is run:
                ledger.end_run(item)

    def _give_back(self, ledger, item, run_id, seconds):
        """Let an item wait again after its run ended without a result."""
        if item.run is None or item.run.id != run_id:
            return
        item.avoided = item.avoided | {item.run.replica}
        item.errors += 1
        item.ready_at = self.node.now() + seconds * min(item.errors, 10)
        ledger.end_run(item)

    def on_report(self, body, origin):
        """Take word of a run that ended without a result, with the text it had."""
        ledger = self.ledgers.get(body["part"])
        if ledger is None or not ledger.owner.is_leader:
            raise NotOwner(part=body["part"])
        item = ledger.find(body["lot"], body["n"])
        if item is None:
            return {"taken": False}
        if body["last"] is not None and (item.last is None or body["last"] > item.last):
            item.last, item.text, item.errors = body["last"], body["text"], 0
        if item.run is not None and item.run.id == body["run"]:
            self.limits.note(item.run, body["outcome"], self.node.now())
        self._give_back(ledger, item, body["run"], PAUSES[body["outcome"]])
        return {"taken": True}
