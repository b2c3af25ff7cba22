"""The token quota across parts: exact despite lost owners and answers, without leaks."""

from unittest import mock

import pytest

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import OutcomeUnknown, QuillringError, Refused
from quillring.lots.http_requests import api
from quillring.lots.http_requests.lot_table import QuotaExceeded
from quillring.lots.http_requests.token_reservations import reserved_lots
from tests.http_lot_stage import (
    FORWARD,
    HOST,
    HttpLotStage,
    check_complete_results,
    submit_accepted,
)


def set_silent(stage, is_silent=True):
    """Make all replicas stop or resume answering."""
    for replica in stage.replicas.values():
        replica.is_silent = is_silent


def name_outside_home(stage):
    """Return the name of a lot that is not stored in its host's part."""
    return next(f"n{n}" for n in range(50) if stage.part(f"n{n}") != stage.home_part())


def start_submission(stage, name, count, tokens=10):
    """Submit a lot through an edge without waiting; return the process."""
    items = stage.items(name, count, tokens)
    return stage.start_on_node(
        stage.pick_running("edge"), lambda node: api.submit_lot(node, FORWARD, name, items)
    )


def time_out(seconds):
    """Coroutine: sleep and fail with an unknown outcome."""
    yield Sleep(seconds)
    raise OutcomeUnknown()


def record_commands(are_accepts_lost=False):
    """Return (list of (part, command), patch that appends to it what edges submit).

    With `are_accepts_lost`, accepts do not leave the edge and have an unknown outcome.
    """
    sent, real = [], api.submit_with_retries

    def submit(node, part, command, seconds):
        sent.append((part, command))
        if are_accepts_lost and command["do"] == "raw.accept":
            return time_out(seconds)
        return real(node, part, command, seconds)

    return sent, mock.patch.object(api, "submit_with_retries", submit)


def test_concurrent_submissions_to_several_parts_use_the_quota_exactly():
    with HttpLotStage(201, most_tokens=1000) as stage:
        set_silent(stage)
        processes = [start_submission(stage, f"l{n}", 5, 30) for n in range(20)]
        stage.run(2)
        outcomes = [process.value[1] for process in processes]
        assert outcomes.count(None) == 6
        assert stage.token_totals() == (900, 900)
        assert len({stage.part(f"l{n}") for n in range(20) if outcomes[n] is None}) > 1
        set_silent(stage, False)
        for number, outcome in enumerate(outcomes):
            if outcome is None:
                check_complete_results(stage, stage.read_all(f"l{number}"), f"l{number}", 5)
        stage.run(1)
        assert stage.token_totals() == (0, 0)


def test_tokens_of_finished_items_are_released_within_a_second():
    with HttpLotStage(202, most_tokens=300, slots=32) as stage:
        submit_accepted(stage, "a", 30)
        assert isinstance(stage.submit("b", 1)[1], QuotaExceeded)
        stage.read_all("a")
        stage.run(0.6)
        submit_accepted(stage, "b", 30)


def test_a_repeated_submission_is_recognised_even_if_the_quota_is_used_up():
    with HttpLotStage(203, most_tokens=200, slots=32) as stage:
        name = name_outside_home(stage)
        submit_accepted(stage, name, 20)
        check_complete_results(stage, stage.read_all(name), name, 20)
        stage.run(1)
        set_silent(stage)
        submit_accepted(stage, "full", 20)
        assert submit_accepted(stage, name, 20)["repeated"]


@pytest.mark.parametrize("seed", range(3))
def test_the_reservation_of_a_lot_that_is_never_accepted_is_released(seed):
    with HttpLotStage(210 + seed, most_tokens=300) as stage:
        name, edge = name_outside_home(stage), stage.pick_running("edge")
        sent, patch = record_commands(are_accepts_lost=True)
        with patch:
            items = stage.items(name, 30)
            process = stage.start_on_node(
                edge, lambda node: api.submit_lot(node, FORWARD, name, items)
            )
            while not sent or sent[-1][1]["do"] != "raw.accept":
                stage.env.step()
            stage.sim.kill(edge.me.name)
        stage.env.run(until=stage.env.now + 0.001)
        assert not process.triggered or process.value != ({"items": 30}, None)
        assert stage.token_totals() == (0, 300)
        stage.run(2)
        assert stage.token_totals() == (0, 0)
        part, command = sent[-1]
        answer, _ = stage.run_on_node(
            stage.pick_running("edge"), lambda node: node.find("ownership").submit(part, command)
        )
        assert answer == {"refused": "fenced"}
        submit_accepted(stage, "other", 30)
        stage.run(1)
        assert not any(arrival[1].startswith(f"{name}-") for arrival in stage.arrivals)


@pytest.mark.parametrize("killed", ["home", "part"])
@pytest.mark.parametrize("seed", range(3))
def test_the_quota_holds_if_an_owner_dies_between_reservation_and_acceptance(seed, killed):
    with HttpLotStage(220 + seed, most_tokens=300) as stage:
        set_silent(stage)
        name = name_outside_home(stage)
        sent, patch = record_commands()
        with patch:
            process = start_submission(stage, name, 20)
            while not sent or sent[-1][1]["do"] != "raw.accept":
                stage.env.step()
            part = stage.home_part() if killed == "home" else stage.part(name)
            stage.sim.kill(stage.owner_of(part).me.name)
            stage.env.run(until=process)
        error = process.value[1]
        assert error is None or isinstance(error, QuillringError)
        max_pending = 0
        for number in range(30):
            start_submission(stage, f"x{number}", 7)
            stage.run(0.2)
            max_pending = max(max_pending, stage.token_totals()[0])
        assert 0 < max_pending <= 300
        set_silent(stage, False)
        stage.run(10)
        if error is not None:
            submit_accepted(stage, name, 20)
        check_complete_results(stage, stage.read_all(name), name, 20)
        stage.run(8)
        assert stage.token_totals() == (0, 0)


def test_a_fenced_accept_gets_a_new_ticket_and_is_accepted():
    with HttpLotStage(230, most_tokens=300) as stage:
        name, home_part = name_outside_home(stage), stage.home_part()
        real, fenced = api.submit_with_retries, []

        def submit(node, part, command, seconds):
            if command["do"] == "raw.accept" and not fenced:
                fence = {"do": "raw.fence", "lot": "", "ledger": home_part, "lots": []}
                fenced.append(
                    (yield from real(node, part, {**fence, "ticket": command["ticket"]}, seconds))
                )
            return (yield from real(node, part, command, seconds))

        with mock.patch.object(api, "submit_with_retries", submit):
            answer, error = stage.submit(name, 20)
        assert (answer, error, fenced) == ({"items": 20}, None, [{"left": {}}])
        assert stage.counter_total("raw_accepts_fenced") == 1
        assert reserved_lots(stage.state_of(home_part))[f"{name}@{HOST.lower()}"]["ticket"] == 2
        check_complete_results(stage, stage.read_all(name), name, 20)
        stage.run(1)
        assert stage.token_totals() == (0, 0)


def test_submissions_are_refused_while_the_owner_of_the_reservations_is_unavailable():
    with HttpLotStage(231, most_tokens=300) as stage:
        stage.sim.freeze(stage.owner_of(stage.home_part()).me.name, 20)
        _, error = stage.submit(name_outside_home(stage), 4)
        assert isinstance(error, Refused) and error.status == 503
        stage.run(4)
        assert stage.token_totals()[0] == 0 and not stage.arrivals
