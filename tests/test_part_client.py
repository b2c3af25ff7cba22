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
    """A node whose calls of an owner end, one after another, as they are told here."""

    def __init__(self, ends):
        self.time, self.ends = 0.0, list(ends)
        runtime = SimpleNamespace(random=SimpleNamespace(random=lambda: 0.5))
        node = SimpleNamespace(
            bounds=Bounds(), now=lambda: self.time, call=self.call, runtime=runtime
        )
        super().__init__(node, SimpleNamespace(founding=lambda: {}))

    def call(self, target, service, body, seconds):
        end = self.ends.pop(0)
        if isinstance(end, Exception):
            raise end
        return end
        yield

    def why_unavailable(self, part):
        return None if self.ends else Unreachable(part=part)

    def _call_targets(self, part):
        return ["core-1"]

    def asked(self, service):
        coroutine = self.call_leader("part-1", service, {}, None)
        try:
            while True:
                effect = next(coroutine)
                assert isinstance(effect, Sleep)
                self.time += effect.seconds
        except StopIteration as ended:
            return ended.value


@pytest.mark.parametrize(
    "ends, service, error",
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
def test_a_refusal_after_a_call_that_may_have_run_leaves_the_outcome_unknown(ends, service, error):
    with pytest.raises(error) as raised:
        ScriptedClient(ends).asked(service)
    assert type(raised.value) is error


def test_what_can_never_be_taken_is_refused_as_such_even_after_a_call_that_may_have_run():
    with pytest.raises(BadConfiguration):
        ScriptedClient([TimedOut(), BadConfiguration(faults=[])]).asked("part.submit")


def test_a_success_after_a_call_that_may_have_run_is_a_success():
    assert ScriptedClient([TimedOut(), {"written": True}]).asked("part.submit") == {"written": True}


@pytest.mark.parametrize(
    "count, late, is_whole",
    [(5, [], True), (3, [], False), (5, ["store-1"], False), (0, [], False)],
)
def test_a_part_is_whole_when_its_group_has_the_size_of_the_founding(count, late, is_whole):
    def ask(part, service, body, seconds):
        if not count:
            raise NotLeader(part=part)
        return {"group": [f"store-{n}" for n in range(count)], "late": late}
        yield

    ownership = SimpleNamespace(call_leader=ask, parts=lambda: ["part-1"], size=lambda: 5)
    coroutine = show_completeness(
        SimpleNamespace(find=lambda name: ownership, bounds=Bounds()), None
    )
    with pytest.raises(StopIteration) as ended:
        next(coroutine)
    assert ended.value.value["is_whole"] is is_whole
