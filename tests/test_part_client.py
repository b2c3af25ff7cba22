"""Calls to the leader of a part: which error a caller gets after retries."""

from types import SimpleNamespace

import pytest

from quillring.kernel.bounds import Bounds
from quillring.kernel.effects import Sleep
from quillring.kernel.errors import (
    Conflict,
    Fenced,
    NoMajority,
    NotFound,
    NotLeader,
    OutcomeUnknown,
    Refused,
    TimedOut,
    Unreachable,
)
from quillring.ownership.part_client import PartClient
from quillring.rollout.commands import BadConfiguration
from quillring.verbs.part_routes import show_completeness


class ScriptedClient(PartClient):
    """A client whose calls to a leader return or raise the given outcomes, one after another."""

    def __init__(self, outcomes):
        self.time, self.outcomes = 0.0, list(outcomes)
        runtime = SimpleNamespace(random=SimpleNamespace(random=lambda: 0.5))
        node = SimpleNamespace(
            bounds=Bounds(), now=lambda: self.time, call=self.call, runtime=runtime
        )
        super().__init__(node, SimpleNamespace(founding=lambda: {}))

    def call(self, target, service, body, seconds):
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome
        yield

    def why_unavailable(self, part):
        return None if self.outcomes else Unreachable(part=part)

    def _call_targets(self, part):
        return ["core-1"]

    def call_and_wait(self, service):
        coroutine = self.call_leader("part-1", service, {}, None)
        try:
            while True:
                effect = next(coroutine)
                assert isinstance(effect, Sleep)
                self.time += effect.seconds
        except StopIteration as stopped:
            return stopped.value


@pytest.mark.parametrize(
    "outcomes, service, error",
    [
        ([Conflict()], "part.submit", Conflict),
        ([NotLeader(), Fenced(), Unreachable(), Conflict()], "part.submit", Conflict),
        ([TimedOut(), Conflict()], "part.submit", OutcomeUnknown),
        ([NoMajority(), NotLeader(), NotFound()], "part.submit", OutcomeUnknown),
        ([TimedOut(), NotLeader()], "part.submit", OutcomeUnknown),
        ([NotLeader(), Unreachable()], "part.submit", Refused),
        ([TimedOut(), NotFound()], "part.whole", NotFound),
        ([TimedOut()], "part.whole", Refused),
    ],
)
def test_an_error_after_an_attempt_that_may_have_run_leaves_the_outcome_unknown(
    outcomes, service, error
):
    with pytest.raises(error) as raised:
        ScriptedClient(outcomes).call_and_wait(service)
    assert type(raised.value) is error


def test_a_final_error_is_raised_even_after_an_attempt_that_may_have_run():
    with pytest.raises(BadConfiguration):
        ScriptedClient([TimedOut(), BadConfiguration(faults=[])]).call_and_wait("part.submit")


def test_a_success_after_an_attempt_that_may_have_run_is_returned():
    assert ScriptedClient([TimedOut(), {"written": True}]).call_and_wait("part.submit") == {
        "written": True
    }


@pytest.mark.parametrize(
    "count, late, is_whole",
    [(5, [], True), (3, [], False), (5, ["store-1"], False), (0, [], False)],
)
def test_a_part_is_fully_replicated_when_its_group_is_complete_and_no_store_lags(
    count, late, is_whole
):
    def ask(part, service, body, seconds):
        if not count:
            raise NotLeader(part=part)
        return {"group": [f"store-{n}" for n in range(count)], "late": late}
        yield

    ownership = SimpleNamespace(
        call_leader=ask, parts=lambda: ["part-1"], stores_per_part=lambda: 5
    )
    coroutine = show_completeness(
        SimpleNamespace(find=lambda name: ownership, bounds=Bounds()), None
    )
    with pytest.raises(StopIteration) as stopped:
        next(coroutine)
    assert stopped.value.value["is_whole"] is is_whole
