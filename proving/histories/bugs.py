"""Seeded bugs: guards of the product taken out one at a time, to see that histories miss each."""

import contextlib
import gc
import multiprocessing
import time
from typing import NamedTuple
from unittest import mock

from proving.histories.run import PROGRAM, run_seed
from quillring.kernel.effects import Signal
from quillring.kernel.errors import Conflict, Refused
from quillring.lots.http_requests import lot_table, state_machine
from quillring.ownership import part_client
from quillring.quorum.acceptor import Acceptors, AcceptorState
from quillring.quorum.commands import COMMANDS
from quillring.quorum.leader import follower_read, part_leader
from quillring.quorum.leader.in_flight import InFlight
from quillring.rollout import configuration_versions, operator_orders
from quillring.rollout.freshness import Freshness
from quillring.rollout.orders import place_order
from quillring.rollout.snapshot import ConfigurationSnapshot
from quillring.store.checkpointed_log import CheckpointedLog, PendingCommit

MOST_SEEDS_A_BUG = 40
SHOWN_TEXT = 60


class Bug(NamedTuple):
    """A guard and what stands in for it: (object, attribute, stand-in), or a command's name."""

    name: str
    guard: str
    target: object
    attribute: str
    stand_in: object

    def patch(self):
        """Return a context in which the guard is taken out."""
        if self.target is COMMANDS:
            return mock.patch.dict(COMMANDS.entries, {self.attribute: self.stand_in})
        return mock.patch.object(self.target, self.attribute, self.stand_in)


class Row(NamedTuple):
    """What came of the seeded bug of this number; `seed` is None where no seed showed it."""

    number: int
    seed: int | None
    tried: int
    operations: int
    seconds: float
    found: str


def adopt_on_any_base(state, command):
    """Stand-in: a configuration made on another version is adopted all the same."""
    try:
        return configuration_versions.adopt_version(state, command)
    except Conflict as error:
        base = error.detail.get("winning_edition")
        return configuration_versions.adopt_version(state, {**command, "base_edition": base})


def adopt_without_memory(state, command):
    """Stand-in: what was adopted before is not known again."""
    return configuration_versions.adopt_version({**state, "editions": {}}, command)


def local_state(self):
    """Stand-in: a read is answered from the owner's memory alone."""
    return self.state
    yield


def place_unfenced(state, section, name, order, seen_version):
    """Stand-in: an order about a zone or store counts however old it is."""
    return place_order(state, section, name, order, None)


def no_check(*words):
    """Stand-in for a check."""


def no_faults(*words):
    """Stand-in for a check that lists faults."""
    return []


def check_without_ballot(self, request):
    """Stand-in: an acceptor takes what a leader of an older term sends."""
    state = self.parts.get(request.part) or AcceptorState()
    state.promised = min(state.promised, request.ballot)
    return state


def commit_without_sync(self, records):
    """Stand-in: a store answers before its disk has the records."""
    self.pending.append(PendingCommit(records, Signal()))
    self.work_signal.set()
    return
    yield


def accept_anew(state, command):
    """Stand-in: a lot that is handed in again starts afresh."""
    lots = {n: lot for n, lot in lot_table.lot_records(state).items() if n != command["lot"]}
    return state_machine.accept_lot({**state, "raw": lots}, command)


def end_nothing(state, command):
    """Stand-in: an end is acknowledged, and the lot goes on."""
    lot_table.find_lot(state, command["lot"])
    return state, {"ended": True}


def list_in_front(lot, rows, list_items=state_machine.list_items):
    """Stand-in: a result goes to the first position."""
    listed = list_items(lot, rows)
    return {**listed, "results": [*listed["results"][-len(rows) :], *lot["results"]]}


def take_any_news(self, body, origin):
    """Stand-in: a node takes whatever configuration it is told last."""
    _, news = body
    self.index, self.version, self.configuration = news[:3]


def told_as_refused(part):
    """Stand-in: an order that may have run is told as refused."""
    return Refused(part=part, reason="not known")


def newest_of_any(replies, group, query):
    """Stand-in: what may be chosen beyond the applied state is not looked at."""
    return max(replies, key=lambda reply: reply.applied).answer if replies else None


def wait_for_nothing(self, lot=None):
    """Stand-in: a read does not wait for what its owner has in flight."""
    return
    yield


def always_fresh(self):
    """Stand-in: a node counts as fresh however long it heard of no majority."""
    return self.node.find("layout").configuration is not None


BUGS = (
    Bug("base not compared", "edition.adopt: base", COMMANDS, "edition.adopt", adopt_on_any_base),
    Bug(
        "repeats unknown", "edition.adopt: digests", COMMANDS, "edition.adopt", adopt_without_memory
    ),
    Bug(
        "number not compared",
        "configuration_versions.number_faults",
        configuration_versions,
        "number_faults",
        no_faults,
    ),
    Bug(
        "local read",
        "PartLeader.linearizable_state",
        part_leader.PartLeader,
        "linearizable_state",
        local_state,
    ),
    Bug("unfenced orders", "orders.place_order", operator_orders, "place_order", place_unfenced),
    Bug(
        "any retirement",
        "operator_orders.check_remaining",
        operator_orders,
        "check_remaining",
        no_check,
    ),
    Bug(
        "terms not compared",
        "Acceptors.check_ballot",
        Acceptors,
        "check_ballot",
        check_without_ballot,
    ),
    Bug(
        "answer before sync",
        "CheckpointedLog.commit",
        CheckpointedLog,
        "commit",
        commit_without_sync,
    ),
    Bug("lot accepted anew", "raw.accept: digest", COMMANDS, "raw.accept", accept_anew),
    Bug("end not kept", "raw.end", COMMANDS, "raw.end", end_nothing),
    Bug("results move", "state_machine.list_items", state_machine, "list_items", list_in_front),
    Bug(
        "snapshot goes back",
        "ConfigurationSnapshot.on_announcement",
        ConfigurationSnapshot,
        "on_announcement",
        take_any_news,
    ),
    Bug(
        "unknown told as refused",
        "part_client.outcome_unknown",
        part_client,
        "outcome_unknown",
        told_as_refused,
    ),
    Bug(
        "reads past the log",
        "follower_read.find_answer",
        follower_read,
        "find_answer",
        newest_of_any,
    ),
    Bug("entry in flight", "InFlight.wait", InFlight, "wait", wait_for_nothing),
    Bug("always fresh", "Freshness.is_fresh", Freshness, "is_fresh", always_fresh),
)


def find_bug(job):
    """Play seeds with one guard taken out until a history shows it that is clean with the guard."""
    number, first, most = job
    bug, start_time, operations = BUGS[number], time.perf_counter(), 0
    for seed in range(first, first + most):
        gc.disable()
        with bug.patch():
            result = run_seed(seed)
        gc.enable()
        operations += result.operations
        findings = [finding for finding in result.findings if finding.target != PROGRAM]
        if findings and not run_seed(seed).findings:
            finding = findings[0]
            found = f"{finding.target}: {finding.text[:SHOWN_TEXT]}"
            seconds = time.perf_counter() - start_time
            return Row(number, seed, seed - first + 1, operations, seconds, found)
    return Row(number, None, most, operations, time.perf_counter() - start_time, "")


def find_all_bugs(first, jobs, echo, most=MOST_SEEDS_A_BUG):
    """Print a table of all seeded bugs; return whether one was not found."""
    work, missed = [(number, first, most) for number in range(len(BUGS))], 0
    echo(f"{'seeded bug':<24} {'guard taken out':<24} {'seed':>5} {'runs':>5} {'s':>5}  found by")
    with contextlib.ExitStack() as stack:
        rows = map(find_bug, work)
        if jobs > 1:
            rows = stack.enter_context(multiprocessing.Pool(jobs)).imap(find_bug, work, 1)
        for row in rows:
            missed += row.seed is None
            bug = BUGS[row.number]
            seed = "-" if row.seed is None else row.seed
            echo(
                f"{bug.name:<24} {bug.guard:<24} {seed:>5} {row.tried:>5} "
                f"{row.seconds:>5.0f}  {row.found}"
            )
    echo(f"{len(BUGS) - missed} of {len(BUGS)} found, at most {most} seeds each from {first}")
    return bool(missed)
