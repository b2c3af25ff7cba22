"""A day of lots under random faults, with a judge of what clients and replicas see."""

from collections import Counter

from quillring.kernel.errors import NotFound, QuillringError
from quillring.lots.http_requests import api
from tests.http_lot_stage import FORWARD, HOST, HttpLotStage, text_of

SETTLE = 1.0
ENDING = 3.0
TOUCH = 3.0


class HttpLotDay:
    """Clients that hand lots in and read them, faults that come and go, and the judge."""

    def __init__(self, seed, seconds=25, faults=6, lots=12, most_tokens=0):
        self.stage = HttpLotStage(seed, slots=6, replicas=4, most_tokens=most_tokens)
        self.chance = self.stage.sim.chance
        self.seconds, self.fault_count, self.lot_count = seconds, faults, lots
        self.tries, self.accepted_at, self.ended_at, self.counts = {}, {}, {}, {}
        self.rows, self.row_read_at, self.disturbed_at = {}, {}, {}
        self.violations, self.reads = [], Counter()
        self.ways, self.is_calm, self.most_tokens = {}, True, most_tokens

    def play(self):
        """Play the day; return the violations."""
        with self.stage as stage:
            self.day_end = stage.env.now + self.seconds
            for replica in stage.replicas.values():
                replica.failure = self.failure
            for number in range(self.lot_count):
                stage.env.process(self.client(f"lot{number}"))
            for _ in range(self.fault_count):
                stage.env.process(self.fault())
            if self.most_tokens:
                stage.env.process(self.watch_quota())
            stage.run(self.seconds + 25)
            self.judge()
        return self.violations

    def watch_quota(self):
        """Process: what waits over all parts never exceeds the limit of the forward."""
        while True:
            yield self.stage.env.timeout(0.05)
            waiting, reserved = self.stage.waiting()
            if waiting > self.most_tokens or reserved > self.most_tokens:
                at = self.stage.env.now
                self.violations.append(f"{waiting} wait, {reserved} reserved at {at:.2f}")

    def failure(self, replica, item_id, last):
        """Return how a run goes wrong, now and then."""
        if item_id in self.ways:
            return self.ways[item_id]
        if self.chance.random() < 0.01:
            self.ways[item_id] = 422
            return 422
        return self.chance.choice([None] * 12 + ["break", "full", "skip", "restart"])

    def edge(self):
        """Return an edge that is up."""
        return self.stage.up("edge")

    def coroutine(self, make):
        """Process: run a coroutine on an edge."""
        node = self.edge()
        value = yield from self.stage.sim.run_coroutine(node, make(node))
        self.is_calm = self.is_in_touch(node.me.name, self.stage.env.now)
        return (None, QuillringError(reason="node died")) if value == (None, None) else value

    def client(self, name):
        """Process: hand a lot in, read it to its end, sometimes end it early."""
        env, chance = self.stage.env, self.chance
        yield env.timeout(chance.uniform(0, self.seconds * 0.7))
        count = chance.randrange(1, 25)
        items = self.stage.items(name, count)
        self.counts[name], self.tries[name] = count, []
        for _ in range(6):
            _, error = yield from self.coroutine(
                lambda node: api.submit_lot(node, FORWARD, name, items)
            )
            status = 202 if error is None else error.status
            self.tries[name].append(status)
            if status == 202:
                break
            yield env.timeout(chance.uniform(0.2, 1.0))
        else:
            return
        self.accepted_at[name] = env.now
        env.process(self.reader(name))
        if chance.random() < 0.25:
            yield env.timeout(chance.uniform(0.2, 4))
            while True:
                _, error = yield from self.coroutine(lambda node: api.end_lot(node, HOST, name))
                if error is None:
                    break
                if isinstance(error, NotFound):
                    self.violations.append(f"{name}: end finds no lot")
                    return
                yield env.timeout(0.3)
            self.ended_at[name] = env.now

    def reader(self, name):
        """Process: read a lot at any edge until the end of the day."""
        env, chance = self.stage.env, self.chance
        while env.now < self.day_end + 24:
            known = self.rows.setdefault(name, [])
            start = chance.choice([0, len(known), max(0, len(known) - 2)])
            began_at = env.now
            held_count = sum(at < began_at - SETTLE for at in self.row_read_at.get(name, []))
            answer, error = yield from self.coroutine(
                lambda node, start=start: api.read_results(
                    node, HOST, name, start, chance.choice([0, 0.8])
                )
            )
            self.reads["good" if error is None else error.kind] += 1
            if env.now - began_at > 2.4 and self.is_calm:
                self.violations.append(f"{name}: a read took {env.now - began_at:.2f}")
            if isinstance(error, NotFound) and began_at > self.accepted_at[name] + SETTLE:
                self.violations.append(f"{name}: not found at {env.now:.2f}")
            if error is None:
                self.take_rows(name, start, answer, held_count)
            yield env.timeout(chance.uniform(0.2, 0.5))

    def take_rows(self, name, start, answer, held_count):
        """Check what a read gave against all that was read before."""
        known = self.rows[name]
        if answer["items"] != self.counts[name]:
            self.violations.append(f"{name}: wrong count")
        if start + len(answer["results"]) < held_count:
            self.violations.append(f"{name}: a position read before holds nothing")
        for place, row in enumerate(answer["results"], start):
            if place < len(known) and known[place] != row:
                self.violations.append(f"{name}: position {place} changed")
            if place == len(known):
                known.append(row)
                self.row_read_at.setdefault(name, []).append(self.stage.env.now)

    def fault(self):
        """Process: one fault and its end."""
        env, chance, sim = self.stage.env, self.chance, self.stage.sim
        yield env.timeout(chance.uniform(0.5, self.seconds * 0.8))
        kind = chance.choice(
            ["core", "core", "store", "edge", "freeze", "freeze", "net", "replica", "silent", "cut"]
        )
        seconds = chance.uniform(0.5, 4)
        if kind in ("core", "store", "edge") and len(sim.up_nodes(kind)) == len(sim.names(kind)):
            name = chance.choice(sim.names(kind))
            self.disturb(name)
            sim.kill(name, loses_power=chance.random() < 0.5)
            yield env.timeout(seconds)
            sim.start(name)
            self.disturb(name)
        elif kind == "freeze":
            node = self.stage.up(chance.choice(["core", "core", "store", "edge"]))
            self.disturb(node.me.name)
            sim.freeze(node.me.name, seconds)
            yield env.timeout(seconds)
            self.disturb(node.me.name)
        elif kind == "net":
            sim.net.loss_share, sim.net.duplicate_share, sim.net.reorder_share = 0.03, 0.05, 0.05
            yield env.timeout(seconds)
            sim.net.loss_share = sim.net.duplicate_share = sim.net.reorder_share = 0.0
        elif kind == "replica":
            replica = chance.choice(list(self.stage.replicas.values())[:2])
            replica.leave() if chance.random() < 0.5 else setattr(replica, "is_dead", True)
        elif kind == "silent":
            replica = chance.choice(list(self.stage.replicas.values()))
            replica.is_silent = True
            yield env.timeout(seconds)
            replica.is_silent = False
        elif kind == "cut":
            names = list(sim.nodes)
            sim.cut([chance.choice(names)], chance.sample(names, 4))
            yield env.timeout(seconds)
            sim.net.heal()

    def disturb(self, name):
        """Remember when a node was last killed, started, frozen or thawed."""
        self.disturbed_at.setdefault(name, []).append(self.stage.env.now)

    def is_in_touch(self, name, at):
        """Tell whether a node was left alone for some seconds."""
        return not any(at - TOUCH - 4 < then <= at for then in self.disturbed_at.get(name, []))

    def judge(self):
        """Judge the whole day."""
        waiting, reserved = self.stage.waiting()
        if reserved != waiting:
            self.violations.append(f"{reserved} are reserved for {waiting} at the end")
        for name, count in self.counts.items():
            rows, ended = self.rows.get(name, []), name in self.ended_at
            ids = [row[0] for row in rows]
            if len(set(ids)) < len(ids) or not set(ids) <= {f"{name}-{n}" for n in range(count)}:
                self.violations.append(f"{name}: an item stands twice")
            if name in self.accepted_at and not ended and len(rows) < count:
                self.violations.append(f"{name}: {len(rows)} of {count} results")
            for item_id, state, text in rows:
                is_dead = self.ways.get(item_id) == 422
                wanted = ("errored", b"") if is_dead else ("finished", text_of(item_id, 6))
                if (state, text) != wanted:
                    self.violations.append(f"{item_id}: {state} {text[:80]}")
        for at, item_id, _, _, request in self.stage.arrivals:
            name, worker = item_id.partition("-")[0], request["worker"]
            if name in self.tries and set(self.tries[name]) <= {503, 429}:
                self.violations.append(f"{item_id} ran though refused at every try")
            is_late = name in self.ended_at and at > self.ended_at[name] + ENDING
            if is_late and self.is_in_touch(worker, at):
                self.violations.append(f"{item_id} reached a replica after its lot's end")
