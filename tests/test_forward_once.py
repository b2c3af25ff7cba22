"""Limits on how often a forwarded request is sent: once, or as often as its route allows."""

from unittest import mock

import pytest

from proving.sim.scripted_runtime import BREAK, END, SILENT, STALE
from quillring.kernel.errors import OutcomeUnknown, Refused
from quillring.kernel.node import Node
from tests.forward_stage import (
    HEAD,
    PLAIN_HEAD,
    PLAIN_HEADERS,
    address,
    deliver_heartbeat,
    event,
    make_stage,
    request,
    run,
    same_for_both_replicas,
    stream_bytes,
)

COMPLETE_RESPONSE = [PLAIN_HEAD, (0.01, b"ok"), (0, END)]
FRAMED = {"transfer-encoding": "chunked"}


def replicas_reached(runtime):
    """Return the addresses to which requests were sent."""
    return {sent[0] for sent in runtime.sent}


@pytest.mark.parametrize("kind", ["once", "stream"])
@pytest.mark.parametrize("fault", [[(0, BREAK)], [(9, SILENT)], [HEAD, (0.01, BREAK)]])
def test_request_that_may_run_only_once_is_sent_once_on_a_new_connection(kind, fault):
    runtime, node = make_stage(
        same_for_both_replicas(fault, COMPLETE_RESPONSE),
        kind=kind,
        resumable=False,
        attempts=3,
        replicas=2,
    )
    with pytest.raises(OutcomeUnknown):
        run(runtime, node)
    assert [may_reuse for _, _, may_reuse in runtime.sent] == [False]


def test_retryable_request_is_resent_on_a_new_connection_if_the_idle_one_was_dead():
    runtime, node = make_stage(
        {0: [[(0, STALE)], COMPLETE_RESPONSE]}, kind="repeatable", attempts=1, replicas=1
    )
    assert run(runtime, node)[::2] == (200, b"ok")
    assert [may_reuse for _, _, may_reuse in runtime.sent] == [True, False]


def test_request_is_not_resent_to_a_replica_that_left_after_the_dead_connection():
    runtime, node = make_stage(
        {0: [[(0.5, STALE)], COMPLETE_RESPONSE]}, kind="repeatable", attempts=1, replicas=1
    )
    wait_for_head = runtime.perform

    def perform(effect):
        if type(effect).__name__ == "ReadHead" and len(runtime.sent) == 1:
            deliver_heartbeat(node, 0, 2, state="leaving")
        return wait_for_head(effect)

    runtime.perform = perform
    with pytest.raises((OutcomeUnknown, Refused)):
        run(runtime, node)
    assert len(runtime.sent) == 1


def test_attempt_over_a_dead_connection_counts_towards_the_limit():
    answers = {n: [[(0, STALE)]] for n in range(6)}
    runtime, node = make_stage(answers, kind="repeatable", attempts=2, replicas=6)
    with pytest.raises(OutcomeUnknown):
        run(runtime, node)
    assert len(replicas_reached(runtime)) == 2


@pytest.mark.parametrize("status", [503, 421])
def test_not_run_response_after_a_dead_connection_leaves_the_outcome_unknown(status):
    refusal = [(0.01, (status, {"x-inquiry": "q1", "x-not-run": "1"}))]
    runtime, node = make_stage(
        {0: [[(0, STALE)], refusal]}, kind="repeatable", attempts=1, replicas=1
    )
    with pytest.raises(OutcomeUnknown):
        run(runtime, node)
    assert len(runtime.sent) == 2 and runtime.handles[1].is_closed
    assert bool(node.find("placement").replicas("s")) == (status == 503)


@pytest.mark.parametrize("attempts", [1, 2, 3])
@pytest.mark.parametrize("kind", ["repeatable", "stream"])
def test_number_of_replicas_that_run_a_request_stays_within_the_route_limit(kind, attempts):
    not_run = [(0.01, (503, {"x-inquiry": "q1", "x-not-run": "1"}))]
    failed_run = [[HEAD, (0.01, event(0)), (0, BREAK)]] if kind == "stream" else [[(0, BREAK)]]
    responses_by_replica = {
        0: failed_run,
        1: [not_run] * 9,
        2: failed_run,
        3: [],
        4: failed_run,
        5: failed_run,
    }
    for seed in range(20):
        runtime, node = make_stage(responses_by_replica, kind=kind, attempts=attempts, replicas=6)
        runtime.random.seed(seed)
        with pytest.raises((OutcomeUnknown, Refused)):
            run(runtime, node)
        runs = [sent for sent in runtime.sent if sent[0] not in (address(1), address(3))]
        assert len(runs) <= attempts


@pytest.mark.parametrize("status", [429, 503, 408])
def test_not_run_status_without_not_run_header_is_not_forwarded(status):
    runtime, node = make_stage(
        same_for_both_replicas([(0.01, (status, PLAIN_HEADERS)), (0, END)]), kind="once"
    )
    with pytest.raises(OutcomeUnknown):
        run(runtime, node)
    assert len(runtime.sent) == 1


def test_success_without_seal_header_leaves_the_outcome_unknown():
    unsealed = [(0.01, (200, {"x-inquiry": "q1"})), (0, b"ok"), (0, END)]
    runtime, node = make_stage(same_for_both_replicas(unsealed), kind="once")
    with pytest.raises(OutcomeUnknown):
        run(runtime, node)
    runtime, node = make_stage(same_for_both_replicas(unsealed), kind="repeatable")
    with pytest.raises(OutcomeUnknown):
        run(runtime, node)
    assert len(runtime.sent) == 2


def test_server_error_keeps_its_status_and_seal_header():
    runtime, node = make_stage(
        same_for_both_replicas([(0.01, (504, PLAIN_HEADERS)), (0, b"late"), (0, END)]), kind="once"
    )
    status, pairs, body = run(runtime, node)
    assert (status, dict(pairs)["x-seal"], body) == (504, "s", b"late")


def test_stream_ends_at_its_deadline_even_if_a_replica_appears_then():
    runtime, node = make_stage({0: [[HEAD, (0.01, event(0)), (0, BREAK)]]}, replicas=1)
    real_perform = runtime.perform

    def perform(effect):
        name = type(effect).__name__
        if name == "ReadBody" and runtime.emitted:
            deliver_heartbeat(node, 0, 2, state="leaving")
        if name == "Wait" and runtime.now() + effect.seconds >= 1004.99 - 1e-6:
            deliver_heartbeat(node, 1)
        return real_perform(effect)

    runtime.perform = perform
    attempts = []

    def count(node, name):
        attempts.append(name)
        assert len(attempts) < 100, "the same replica is tried endlessly"

    with mock.patch.object(Node, "count", count), pytest.raises(Refused):
        run(runtime, node, request(**{"X-Deadline-Ms": "4990"}))
    assert stream_bytes(runtime) == event(0)
    assert runtime.now() < 1006
