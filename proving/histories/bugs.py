"""Seeded bugs: each replaces one guard of the product, to test that recorded histories detect it.

A guard is a function or method that prevents violations. A seeded bug counts as found if a run with
the guard replaced has a violation and the run of the same seed with the guard has none.
"""

import contextlib
import gc
import multiprocessing
import time
from typing import NamedTuple
from unittest import mock

from proving.histories.run import PROGRAM_TARGET, run_seed
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

MAX_SEEDS_PER_BUG = 40
MAX_SHOWN_CHARACTERS = 60


class Bug(NamedTuple):
    """A seeded bug: `attribute` of `target` is replaced by `replacement`.

    If `target` is COMMANDS, `attribute` is the name of a command.
    """

    name: str
    guard: str
    target: object
    attribute: str
    replacement: object

    def patch(self):
        """Return a context manager that replaces the guard while it is active."""
        if self.target is COMMANDS:
            return mock.patch.dict(COMMANDS.entries, {self.attribute: self.replacement})
        return mock.patch.object(self.target, self.attribute, self.replacement)


class BugSearchResult(NamedTuple):
    """Result of the search for the seeded bug BUGS[number].

    `seed` is the first seed that found it, or None. `found` is the first finding of that seed.
    """

    number: int
    seed: int | None
    run_count: int
    operations: int
    seconds: float
    found: str


def adopt_ignoring_base(state, command):
    """Adopt a configuration even if it is based on another version than the current one."""
    try:
        return configuration_versions.adopt_version(state, command)
    except Conflict as error:
        base = error.detail.get("winning_edition")
        return configuration_versions.adopt_version(state, {**command, "base_edition": base})


def adopt_ignoring_earlier_versions(state, command):
    """Adopt a configuration without recognizing a repeat of an earlier adoption."""
    return configuration_versions.adopt_version({**state, "editions": {}}, command)


def read_local_state(self):
    """Answer a read from the leader's memory, without confirming that it still leads."""
    return self.state
    yield


def place_order_unfenced(state, section, name, order, seen_version):
    """Apply an order about a zone or store without the fence against delayed orders."""
    return place_order(state, section, name, order, None)


def skip_check(*args):
    """Replace a check that raises on a violation by one that accepts everything."""


def report_no_faults(*args):
    """Replace a check that returns a list of faults by one that finds none."""
    return []


def accept_any_ballot(self, request):
    """Accept a request from a leader with a lower ballot than the acceptor has promised."""
    state = self.parts.get(request.part) or AcceptorState()
    state.promised = min(state.promised, request.ballot)
    return state


def commit_without_sync(self, records):
    """Return before the records are synced to disk."""
    self.pending.append(PendingCommit(records, Signal()))
    self.work_signal.set()
    return
    yield


def accept_lot_again(state, command):
    """Accept a lot that was submitted before as if it were new, dropping its results."""
    lots = {n: lot for n, lot in lot_table.lot_records(state).items() if n != command["lot"]}
    return state_machine.accept_lot({**state, "raw": lots}, command)


def acknowledge_end_without_effect(state, command):
    """Acknowledge the end of a lot without ending it."""
    lot_table.find_lot(state, command["lot"])
    return state, {"ended": True}


def insert_results_first(lot, rows, list_items=state_machine.list_items):
    """Insert new results before the earlier ones instead of appending them."""
    listed = list_items(lot, rows)
    return {**listed, "results": [*listed["results"][-len(rows) :], *lot["results"]]}


def adopt_any_announcement(self, body, origin):
    """Replace the snapshot by any announced configuration, even an older one."""
    _, record = body
    self.index, self.version, self.configuration = record[:3]


def report_unknown_as_refused(part):
    """Report an order with an unknown outcome as refused, although it may have taken effect."""
    return Refused(part=part, reason="not known")


def newest_applied_answer(replies, group, query):
    """Return the answer of highest applied index, ignoring accepted entries that may be chosen."""
    return max(replies, key=lambda reply: reply.applied).answer if replies else None


def skip_wait(self, lot=None):
    """Let a read proceed without waiting for the leader's entries in flight."""
    return
    yield


def always_fresh(self):
    """Report a node with a configuration as fresh, however old its last majority confirmation."""
    return self.node.find("layout").configuration is not None


BUGS = (
    Bug("base not compared", "edition.adopt: base", COMMANDS, "edition.adopt", adopt_ignoring_base),
    Bug(
        "repeats unknown",
        "edition.adopt: digests",
        COMMANDS,
        "edition.adopt",
        adopt_ignoring_earlier_versions,
    ),
    Bug(
        "number not compared",
        "configuration_versions.number_faults",
        configuration_versions,
        "number_faults",
        report_no_faults,
    ),
    Bug(
        "local read",
        "PartLeader.linearizable_state",
        part_leader.PartLeader,
        "linearizable_state",
        read_local_state,
    ),
    Bug(
        "unfenced orders",
        "orders.place_order",
        operator_orders,
        "place_order",
        place_order_unfenced,
    ),
    Bug(
        "any retirement",
        "operator_orders.check_remaining",
        operator_orders,
        "check_remaining",
        skip_check,
    ),
    Bug(
        "terms not compared",
        "Acceptors.check_ballot",
        Acceptors,
        "check_ballot",
        accept_any_ballot,
    ),
    Bug(
        "answer before sync",
        "CheckpointedLog.commit",
        CheckpointedLog,
        "commit",
        commit_without_sync,
    ),
    Bug("lot accepted anew", "raw.accept: digest", COMMANDS, "raw.accept", accept_lot_again),
    Bug("end not kept", "raw.end", COMMANDS, "raw.end", acknowledge_end_without_effect),
    Bug(
        "results move",
        "state_machine.list_items",
        state_machine,
        "list_items",
        insert_results_first,
    ),
    Bug(
        "snapshot goes back",
        "ConfigurationSnapshot.on_announcement",
        ConfigurationSnapshot,
        "on_announcement",
        adopt_any_announcement,
    ),
    Bug(
        "unknown told as refused",
        "part_client.outcome_unknown",
        part_client,
        "outcome_unknown",
        report_unknown_as_refused,
    ),
    Bug(
        "reads past the log",
        "follower_read.find_answer",
        follower_read,
        "find_answer",
        newest_applied_answer,
    ),
    Bug("entry in flight", "InFlight.wait", InFlight, "wait", skip_wait),
    Bug("always fresh", "Freshness.is_fresh", Freshness, "is_fresh", always_fresh),
)


def find_bug(task):
    """Run seeds with one guard replaced until one finds a violation that the guard prevents.

    Findings about PROGRAM_TARGET (an exception in the product) do not count. `task` is (number of
    the bug, first seed, maximum number of seeds).
    """
    number, first_seed, max_seeds = task
    bug, start_time, operations = BUGS[number], time.perf_counter(), 0
    for seed in range(first_seed, first_seed + max_seeds):
        gc.disable()
        with bug.patch():
            result = run_seed(seed)
        gc.enable()
        operations += result.operations
        findings = [finding for finding in result.findings if finding.target != PROGRAM_TARGET]
        if findings and not run_seed(seed).findings:
            finding = findings[0]
            found = f"{finding.target}: {finding.text[:MAX_SHOWN_CHARACTERS]}"
            seconds = time.perf_counter() - start_time
            return BugSearchResult(number, seed, seed - first_seed + 1, operations, seconds, found)
    return BugSearchResult(
        number, None, max_seeds, operations, time.perf_counter() - start_time, ""
    )


def find_all_bugs(first_seed, jobs, echo, max_seeds=MAX_SEEDS_PER_BUG):
    """Print a table of all seeded bugs; return whether one was not found."""
    tasks, missed = [(number, first_seed, max_seeds) for number in range(len(BUGS))], 0
    echo(f"{'seeded bug':<24} {'guard taken out':<24} {'seed':>5} {'runs':>5} {'s':>5}  found by")
    with contextlib.ExitStack() as stack:
        results = map(find_bug, tasks)
        if jobs > 1:
            results = stack.enter_context(multiprocessing.Pool(jobs)).imap(find_bug, tasks, 1)
        for result in results:
            missed += result.seed is None
            bug = BUGS[result.number]
            seed = "-" if result.seed is None else result.seed
            echo(
                f"{bug.name:<24} {bug.guard:<24} {seed:>5} {result.run_count:>5} "
                f"{result.seconds:>5.0f}  {result.found}"
            )
    echo(
        f"{len(BUGS) - missed} of {len(BUGS)} found, "
        f"at most {max_seeds} seeds each from {first_seed}"
    )
    return bool(missed)
