"""What may not repeat goes out once; what may, on no more replicas than its route allows."""

from unittest import mock

import pytest

from proving.sim.scripted_runtime import BREAK, END, SILENT, STALE
from quillring.kernel.errors import OutcomeUnknown, Refused
from quillring.kernel.node import Node
from tests.forward_stage import (
    HEAD,
    PLAIN,
    PLAIN_HEAD,
    address,
    beat,
    both,
    event,
    make,
    request,
    run,
    text,
)

WHOLE = [PLAIN_HEAD, (0.01, b"ok"), (0, END)]
FRAMED = {"transfer-encoding": "chunked"}


def replicas_reached(runtime):
    return {sent[0] for sent in runtime.sent}


@pytest.mark.parametrize("kind", ["once", "stream"])
@pytest.mark.parametrize("fault", [[(0, BREAK)], [(9, SILENT)], [HEAD, (0.01, BREAK)]])
def test_what_may_not_repeat_goes_out_once_on_a_new_connection(kind, fault):
    runtime, node = make(both(fault, WHOLE), kind=kind, resumable=False, attempts=3, replicas=2)
    with pytest.raises(OutcomeUnknown):
        run(runtime, node)
    assert [may_reuse for _, _, may_reuse in runtime.sent] == [False]


def test_what_may_repeat_is_sent_again_on_a_new_connection_where_the_kept_one_had_died():
    runtime, node = make({0: [[(0, STALE)], WHOLE]}, kind="repeatable", attempts=1, replicas=1)
    assert run(runtime, node)[::2] == (200, b"ok")
    assert [may_reuse for _, _, may_reuse in runtime.sent] == [True, False]


def test_a_replica_that_leaves_meanwhile_is_not_sent_again_what_its_connection_lost():
    runtime, node = make({0: [[(0.5, STALE)], WHOLE]}, kind="repeatable", attempts=1, replicas=1)
    wait_for_head = runtime.perform

    def perform(effect):
        if type(effect).__name__ == "ReadHead" and len(runtime.sent) == 1:
            beat(node, 0, 2, state="leaving")
        return wait_for_head(effect)

    runtime.perform = perform
    with pytest.raises((OutcomeUnknown, Refused)):
        run(runtime, node)
    assert len(runtime.sent) == 1


def test_a_replica_reached_over_a_dead_connection_counts_among_the_tries():
    answers = {n: [[(0, STALE)]] for n in range(6)}
    runtime, node = make(answers, kind="repeatable", attempts=2, replicas=6)
    with pytest.raises(OutcomeUnknown):
        run(runtime, node)
    assert len(replicas_reached(runtime)) == 2


@pytest.mark.parametrize("status", [503, 421])
def test_a_refusal_after_a_dead_connection_says_nothing_of_the_first_sending(status):
    refusal = [(0.01, (status, {"x-inquiry": "q1", "x-not-run": "1"}))]
    runtime, node = make({0: [[(0, STALE)], refusal]}, kind="repeatable", attempts=1, replicas=1)
    with pytest.raises(OutcomeUnknown):
        run(runtime, node)
    assert len(runtime.sent) == 2 and runtime.handles[1].is_closed
    assert bool(node.find("placement").replicas("s")) == (status == 503)


@pytest.mark.parametrize("attempts", [1, 2, 3])
@pytest.mark.parametrize("kind", ["repeatable", "stream"])
def test_no_more_replicas_run_a_request_than_its_route_allows(kind, attempts):
    shed = [(0.01, (503, {"x-inquiry": "q1", "x-not-run": "1"}))]
    ran = [[HEAD, (0.01, event(0)), (0, BREAK)]] if kind == "stream" else [[(0, BREAK)]]
    ways = {0: ran, 1: [shed] * 9, 2: ran, 3: [], 4: ran, 5: ran}
    for seed in range(20):
        runtime, node = make(ways, kind=kind, attempts=attempts, replicas=6)
        runtime.random.seed(seed)
        with pytest.raises((OutcomeUnknown, Refused)):
            run(runtime, node)
        runs = [sent for sent in runtime.sent if sent[0] not in (address(1), address(3))]
        assert len(runs) <= attempts


@pytest.mark.parametrize("status", [429, 503, 408])
def test_a_promise_without_the_word_of_not_run_is_not_passed_on(status):
    runtime, node = make(both([(0.01, (status, PLAIN)), (0, END)]), kind="once")
    with pytest.raises(OutcomeUnknown):
        run(runtime, node)
    assert len(runtime.sent) == 1


def test_a_success_without_the_replicas_seal_is_no_success():
    unsealed = [(0.01, (200, {"x-inquiry": "q1"})), (0, b"ok"), (0, END)]
    runtime, node = make(both(unsealed), kind="once")
    with pytest.raises(OutcomeUnknown):
        run(runtime, node)
    runtime, node = make(both(unsealed), kind="repeatable")
    with pytest.raises(OutcomeUnknown):
        run(runtime, node)
    assert len(runtime.sent) == 2


def test_a_failure_keeps_its_status_and_its_seal():
    runtime, node = make(both([(0.01, (504, PLAIN)), (0, b"late"), (0, END)]), kind="once")
    status, pairs, body = run(runtime, node)
    assert (status, dict(pairs)["x-seal"], body) == (504, "s", b"late")


def test_a_stream_whose_time_is_over_as_a_replica_appears_ends_at_once():
    runtime, node = make({0: [[HEAD, (0.01, event(0)), (0, BREAK)]]}, replicas=1)
    real_perform = runtime.perform

    def perform(effect):
        name = type(effect).__name__
        if name == "ReadBody" and runtime.emitted:
            beat(node, 0, 2, state="leaving")
        if name == "Wait" and runtime.now() + effect.seconds >= 1004.99 - 1e-6:
            beat(node, 1)
        return real_perform(effect)

    runtime.perform = perform
    attempts = []

    def count(node, name):
        attempts.append(name)
        assert len(attempts) < 100, "the same replica is tried without end"

    with mock.patch.object(Node, "count", count), pytest.raises(Refused):
        run(runtime, node, request(**{"X-Deadline-Ms": "4990"}))
    assert text(runtime) == event(0)
    assert runtime.now() < 1006
