"""Lots under random faults, with checks of what clients and replicas observe."""

from collections import Counter

from quillring.kernel.errors import NotFound, QuillringError
from quillring.lots.http_requests import api
from tests.http_lot_stage import FORWARD, HOST, HttpLotStage, text_of

SETTLE_SECONDS = 1.0
CANCELLATION_SECONDS = 3.0
UNDISTURBED_SECONDS = 3.0


class RandomFaultRun:
    """Clients that submit and read lots, temporary faults, and the invariants of the run.

    `failure_modes` holds the items that fail permanently. `disturbed_at` records by node when it
    was killed, started, frozen or resumed. All times are simulated seconds.
    """

    def __init__(self, seed, seconds=25, faults=6, lots=12, most_tokens=0):
        self.stage = HttpLotStage(seed, slots=6, replicas=4, most_tokens=most_tokens)
        self.rng = self.stage.sim.chance
        self.seconds, self.fault_count, self.lot_count = seconds, faults, lots
        self.submit_statuses, self.accepted_at, self.ended_at, self.counts = {}, {}, {}, {}
        self.rows, self.row_read_at, self.disturbed_at = {}, {}, {}
        self.violations, self.reads = [], Counter()
        self.failure_modes, self.is_edge_undisturbed, self.most_tokens = {}, True, most_tokens

    def run_all(self):
        """Run the clients and faults; return the violated invariants as messages."""
        with self.stage as stage:
            self.end_time = stage.env.now + self.seconds
            for replica in stage.replicas.values():
                replica.failure = self.choose_failure_mode
            for number in range(self.lot_count):
                stage.env.process(self.run_client(f"lot{number}"))
            for _ in range(self.fault_count):
                stage.env.process(self.inject_fault())
            if self.most_tokens:
                stage.env.process(self.watch_quota())
            stage.run(self.seconds + 25)
            self.check_outcome()
        return self.violations

    def watch_quota(self):
        """Process: check that pending and reserved tokens of all parts never exceed the quota."""
        while True:
            yield self.stage.env.timeout(0.05)
            pending, reserved = self.stage.token_totals()
            if pending > self.most_tokens or reserved > self.most_tokens:
                at = self.stage.env.now
                self.violations.append(f"{pending} tokens pending, {reserved} reserved at {at:.2f}")

    def choose_failure_mode(self, replica, item_id, last):
        """Return the failure mode of a run of an item, or None.

        An item for which status 422 was chosen fails with it on every run.
        """
        if item_id in self.failure_modes:
            return self.failure_modes[item_id]
        if self.rng.random() < 0.01:
            self.failure_modes[item_id] = 422
            return 422
        return self.rng.choice([None] * 12 + ["break", "full", "skip", "restart"])

    def pick_edge(self):
        """Return a random running edge."""
        return self.stage.pick_running("edge")

    def run_on_edge(self, make_coroutine):
        """Process: run `make_coroutine(node)` on a random edge; return (value, error).

        The error is QuillringError if the edge died before the coroutine ended.
        """
        node = self.pick_edge()
        value = yield from self.stage.sim.run_coroutine(node, make_coroutine(node))
        self.is_edge_undisturbed = self.is_undisturbed(node.me.name, self.stage.env.now)
        return (None, QuillringError(reason="node died")) if value == (None, None) else value

    def run_client(self, name):
        """Process: submit a lot with retries, read its results, and sometimes end it early."""
        env, rng = self.stage.env, self.rng
        yield env.timeout(rng.uniform(0, self.seconds * 0.7))
        count = rng.randrange(1, 25)
        items = self.stage.items(name, count)
        self.counts[name], self.submit_statuses[name] = count, []
        for _ in range(6):
            _, error = yield from self.run_on_edge(
                lambda node: api.submit_lot(node, FORWARD, name, items)
            )
            status = 202 if error is None else error.status
            self.submit_statuses[name].append(status)
            if status == 202:
                break
            yield env.timeout(rng.uniform(0.2, 1.0))
        else:
            return
        self.accepted_at[name] = env.now
        env.process(self.poll_results(name))
        if rng.random() < 0.25:
            yield env.timeout(rng.uniform(0.2, 4))
            while True:
                _, error = yield from self.run_on_edge(lambda node: api.end_lot(node, HOST, name))
                if error is None:
                    break
                if isinstance(error, NotFound):
                    self.violations.append(f"{name}: ending it raised NotFound")
                    return
                yield env.timeout(0.3)
            self.ended_at[name] = env.now

    def poll_results(self, name):
        """Process: read a lot through random edges until the end of the run."""
        env, rng = self.stage.env, self.rng
        while env.now < self.end_time + 24:
            known = self.rows.setdefault(name, [])
            start = rng.choice([0, len(known), max(0, len(known) - 2)])
            began_at = env.now
            settled_count = sum(
                at < began_at - SETTLE_SECONDS for at in self.row_read_at.get(name, [])
            )
            answer, error = yield from self.run_on_edge(
                lambda node, start=start: api.read_results(
                    node, HOST, name, start, rng.choice([0, 0.8])
                )
            )
            self.reads["good" if error is None else error.kind] += 1
            if env.now - began_at > 2.4 and self.is_edge_undisturbed:
                self.violations.append(f"{name}: a read took {env.now - began_at:.2f} seconds")
            if isinstance(error, NotFound) and began_at > self.accepted_at[name] + SETTLE_SECONDS:
                self.violations.append(f"{name}: not found at {env.now:.2f}")
            if error is None:
                self.check_rows(name, start, answer, settled_count)
            yield env.timeout(rng.uniform(0.2, 0.5))

    def check_rows(self, name, start, answer, settled_count):
        """Check the answer to a read against the results that were read before.

        `settled_count` is the number of results that had been read some time before this read
        began. The answer must contain them.
        """
        known = self.rows[name]
        if answer["items"] != self.counts[name]:
            self.violations.append(f"{name}: wrong count")
        if start + len(answer["results"]) < settled_count:
            self.violations.append(f"{name}: a result that was read before is missing")
        for position, row in enumerate(answer["results"], start):
            if position < len(known) and known[position] != row:
                self.violations.append(f"{name}: position {position} changed")
            if position == len(known):
                known.append(row)
                self.row_read_at.setdefault(name, []).append(self.stage.env.now)

    def inject_fault(self):
        """Process: inject one random fault and end it after some seconds."""
        env, rng, sim = self.stage.env, self.rng, self.stage.sim
        yield env.timeout(rng.uniform(0.5, self.seconds * 0.8))
        kind = rng.choice(
            ["core", "core", "store", "edge", "freeze", "freeze", "net", "replica", "silent", "cut"]
        )
        seconds = rng.uniform(0.5, 4)
        if kind in ("core", "store", "edge") and len(sim.up_nodes(kind)) == len(sim.names(kind)):
            name = rng.choice(sim.names(kind))
            self.record_disturbance(name)
            sim.kill(name, loses_power=rng.random() < 0.5)
            yield env.timeout(seconds)
            sim.start(name)
            self.record_disturbance(name)
        elif kind == "freeze":
            node = self.stage.pick_running(rng.choice(["core", "core", "store", "edge"]))
            self.record_disturbance(node.me.name)
            sim.freeze(node.me.name, seconds)
            yield env.timeout(seconds)
            self.record_disturbance(node.me.name)
        elif kind == "net":
            sim.net.loss_share, sim.net.duplicate_share, sim.net.reorder_share = 0.03, 0.05, 0.05
            yield env.timeout(seconds)
            sim.net.loss_share = sim.net.duplicate_share = sim.net.reorder_share = 0.0
        elif kind == "replica":
            replica = rng.choice(list(self.stage.replicas.values())[:2])
            replica.leave() if rng.random() < 0.5 else setattr(replica, "is_dead", True)
        elif kind == "silent":
            replica = rng.choice(list(self.stage.replicas.values()))
            replica.is_silent = True
            yield env.timeout(seconds)
            replica.is_silent = False
        elif kind == "cut":
            names = list(sim.nodes)
            sim.cut([rng.choice(names)], rng.sample(names, 4))
            yield env.timeout(seconds)
            sim.net.heal()

    def record_disturbance(self, name):
        """Record that a node is killed, started, frozen or resumed now."""
        self.disturbed_at.setdefault(name, []).append(self.stage.env.now)

    def is_undisturbed(self, name, at):
        """Return whether a node has not been disturbed in the seconds before `at`."""
        return not any(
            at - UNDISTURBED_SECONDS - 4 < then <= at for then in self.disturbed_at.get(name, [])
        )

    def check_outcome(self):
        """Check the results and the arrivals at replicas after the end of the run."""
        pending, reserved = self.stage.token_totals()
        if reserved != pending:
            self.violations.append(
                f"{reserved} tokens reserved for {pending} pending tokens at the end"
            )
        for name, count in self.counts.items():
            rows, ended = self.rows.get(name, []), name in self.ended_at
            ids = [row[0] for row in rows]
            if len(set(ids)) < len(ids) or not set(ids) <= {f"{name}-{n}" for n in range(count)}:
                self.violations.append(f"{name}: an item is listed twice or unknown")
            if name in self.accepted_at and not ended and len(rows) < count:
                self.violations.append(f"{name}: {len(rows)} of {count} results")
            for item_id, state, text in rows:
                is_dead = self.failure_modes.get(item_id) == 422
                wanted = ("errored", b"") if is_dead else ("finished", text_of(item_id, 6))
                if (state, text) != wanted:
                    self.violations.append(f"{item_id}: {state} {text[:80]}")
        for at, item_id, _, _, request in self.stage.arrivals:
            name, worker = item_id.partition("-")[0], request["worker"]
            if name in self.submit_statuses and set(self.submit_statuses[name]) <= {503, 429}:
                self.violations.append(f"{item_id} ran although every submission was refused")
            is_late = name in self.ended_at and at > self.ended_at[name] + CANCELLATION_SECONDS
            if is_late and self.is_undisturbed(worker, at):
                self.violations.append(f"{item_id} reached a replica after its lot's end")
