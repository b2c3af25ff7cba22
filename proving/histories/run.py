"""Runs one seed, records the history, and checks it."""

import random
import time
from typing import NamedTuple

from proving.histories.checker import check_operations
from proving.histories.clients import LotClient, Operator
from proving.histories.faults import LATE_COPY_SHARE, LATE_SHARE, HistoryFaults
from proving.histories.models import model_for_target
from proving.histories.moments import MOMENT_NAMES, MomentScheduler
from proving.histories.operations import (
    CONFIGURATION,
    Adopt,
    FetchConfiguration,
    ItemRan,
    NotTaken,
    ReadResults,
    Unknown,
)
from proving.histories.snapshots import check_snapshots
from proving.histories.stage import HistoryStage
from proving.sim.connection_resets import DrawnConnectionResets
from proving.sim.runtime import CoroutineFailure

PROGRAM_TARGET = "program"
OPERATOR_COUNT, LOT_CLIENT_COUNT = 5, 2
DEFAULT_FAULT_COUNT, MOMENTS_PER_RUN = 7, 3
LOUD_CUT_SECONDS = (2.0, 20.0)
FAULTS_START_SECONDS, CALLS_END_SECONDS, HEAL_AT_SECONDS, RECOVERY_TIMEOUT_SECONDS = (
    2.0,
    23.0,
    24.0,
    12.0,
)


class Finding(NamedTuple):
    """One violation found in a run: its description, and the object or the check it is about."""

    target: str
    text: str


class Result(NamedTuple):
    """The result of one seed.

    Attributes
    ----------
    operations : number of recorded operations
    undecided : names of the objects whose search exceeded the maximum number of configurations
    configurations : number of configurations that the searches tried
    counts : {name: number} of moments, affected packets, and orders by kind of answer
    seconds : real time of the run and the check
    history : the History, or None if it was dropped or the run raised an exception
    """

    seed: int
    operations: int
    findings: tuple[Finding, ...]
    undecided: tuple[str, ...]
    configurations: int
    counts: dict
    seconds: float
    history: object


class HistoryRun:
    """Simulates one seed and records its history.

    Parameters
    ----------
    seed : seed of the fleet, the clients, the faults and the moments
    fault_count : number of faults of HistoryFaults
    moment_names : kinds of moments to choose from
    loud_cuts : number of partitions that reset or refuse connections
    """

    def __init__(
        self, seed, fault_count=DEFAULT_FAULT_COUNT, moment_names=MOMENT_NAMES, loud_cuts=0
    ):
        self.stage = HistoryStage(seed)
        self.rng = random.Random(f"clients {seed}")
        self.fault_count = fault_count
        self.loud_cuts = loud_cuts
        self.moment_names = moment_names
        self.counts, self.value_count, self.lot_count = {}, 0, 0
        self.findings = []

    def count(self, name):
        """Increment a counter of the report."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def next_value(self):
        """Return a value that is unique in the run."""
        self.value_count += 1
        return self.value_count

    def next_lot_name(self):
        """Return a lot name that is unique in the run."""
        self.lot_count += 1
        return f"lot{self.lot_count}"

    def play(self):
        """Simulate the run and return its history.

        If a coroutine of the product raises an unexpected exception, the run ends there with a
        finding.
        """
        sim, history = self.stage.sim, self.stage.history
        try:
            self._simulate()
        except CoroutineFailure as error:
            self.findings.append(Finding(PROGRAM_TARGET, f"{error} at {self.stage.env.now:.3f}"))
        self._record_item_runs()
        history.steps = [*sim.history.notes]
        self.counts["packets held"] = sim.net.late_packets
        self.counts["frames refused by cuts"] = sim.net.refused_frames
        self.counts["frames reset by cuts"] = sim.net.reset_frames
        self.findings.extend(Finding("simulator", text) for text in sim.history.violations)
        return history

    def _simulate(self):
        """Run the clients, faults and moments, heal the fleet, and check that it recovers."""
        env, sim = self.stage.env, self.stage.sim
        self._adopt_first_configuration()
        sim.net.late_copy_share, sim.net.late_share = LATE_COPY_SHARE, LATE_SHARE
        faults = HistoryFaults(sim)
        env.process(faults.run(FAULTS_START_SECONDS, HEAL_AT_SECONDS, self.fault_count))
        loud_cuts = DrawnConnectionResets(sim, LOUD_CUT_SECONDS)
        env.process(loud_cuts.run(FAULTS_START_SECONDS, HEAL_AT_SECONDS, self.loud_cuts))
        env.process(MomentScheduler(self, faults, self.moment_names).play(MOMENTS_PER_RUN))
        workers = [
            *(Operator(self, f"operator {n}") for n in range(OPERATOR_COUNT)),
            *(LotClient(self, f"client {n}") for n in range(LOT_CLIENT_COUNT)),
        ]
        for worker in workers:
            env.process(worker.work(CALLS_END_SECONDS))
        env.run(until=HEAL_AT_SECONDS + 0.5)
        env.run(until=env.process(self._check_recovery()))

    def _adopt_first_configuration(self):
        """Adopt the first configuration and record it as an operation of the history."""
        operator = Operator(self, "first operator")
        order = Adopt(1, 0, True, ())
        process = self.stage.env.process(operator.send(CONFIGURATION, order))
        self.stage.env.run(until=process)

    def _check_recovery(self):
        """Process: check that every edge and core answers reads and every lot is readable again.

        Adds a finding if an answer is missing RECOVERY_TIMEOUT_SECONDS after the heal; the limit is
        0.1 s longer for each read.
        """
        reader, env, sim = Operator(self, "last reader"), self.stage.env, self.stage.sim
        targets = sorted({operation.target for operation in self.stage.history.operations})
        reads = [
            (CONFIGURATION, FetchConfiguration(), node)
            for node in sim.nodes.values()
            if node.me.role != "store"
        ]
        reads.extend(
            (target, ReadResults(0), None) for target in targets if target.startswith("lot/")
        )
        for target, order, node in reads:
            answer = Unknown()
            while not is_definite(answer):
                if env.now > HEAL_AT_SECONDS + RECOVERY_TIMEOUT_SECONDS + len(reads) * 0.1:
                    text = f"no answer {env.now - HEAL_AT_SECONDS:.1f} s after the heal: {order}"
                    self.findings.append(Finding(target, text))
                    return
                answer = yield from reader.send(target, order, node)
                yield env.timeout(0.02 if is_definite(answer) else 0.3)

    def _record_item_runs(self):
        """Record for each lot when and where a replica received its first item."""
        first_runs = {}
        for at, item, replica, *_ in self.stage.arrivals:
            first_runs.setdefault(item.rpartition("-")[0], (at, replica))
        for lot, (at, replica) in first_runs.items():
            self.stage.record_at(replica, f"lot/{lot}", ItemRan(), at)


def is_definite(answer):
    """Return whether an answer is neither unknown nor a refusal without a check of the state."""
    return not isinstance(answer, (Unknown, NotTaken))


def check_history(history):
    """Return (findings, undecided objects, number of configurations tried) of a history."""
    findings, undecided, configurations = [], [], 0
    for target, operations in sorted(history.operations_by_target().items()):
        verdict = check_operations(model_for_target(target, history), operations)
        configurations += verdict.configurations
        if verdict.is_linearizable is None:
            undecided.append(target)
        elif not verdict.is_linearizable:
            findings.append(Finding(target, describe_violation(verdict, len(operations))))
    findings.extend(Finding("snapshots", text) for text in check_snapshots(history)[:8])
    return findings, undecided, configurations


def describe_violation(verdict, count):
    """Return a text with the operations at which the search for an order failed."""
    blocked = "; ".join(
        f"{o.client} at {o.node} {o.begin:.3f}-{o.end:.3f} {o.order} -> {o.answer}"
        for o in verdict.blocked[:4]
    )
    return (
        f"not linearizable: {verdict.placed} of {count} operations placed, "
        f"then none of: {blocked}; state {verdict.state}"
    )


def run_seed(seed, fault_count=DEFAULT_FAULT_COUNT, moment_names=MOMENT_NAMES, loud_cuts=0):
    """Simulate one seed, check its history and return the result; see HistoryRun."""
    start_time = time.perf_counter()
    run = HistoryRun(seed, fault_count, moment_names, loud_cuts)
    history = run.play()
    findings, undecided, configurations = check_history(history)
    return Result(
        seed,
        len(history.operations),
        (*run.findings, *findings),
        tuple(undecided),
        configurations,
        run.counts,
        time.perf_counter() - start_time,
        history,
    )
