"""A retirement is finished only when every part has answered that it does without the store."""

import random

import pytest

from quillring.kernel.effects import Signal, Sleep, Wait
from quillring.kernel.errors import QuillringError, TimedOut
from quillring.quorum.leader.retirement_check import fetch_group_statuses, is_safe_to_remove

PARTS = ("config", "p0", "p1", "p2")
WHOLE = {"group": ["s1", "s2", "s3"], "late": [], "joining": []}


class PartsStage:
    """A node whose parts answer after given times, as ownership does; time is virtual."""

    def __init__(self, delays):
        self.delays, self.time, self.pending = delays, 0.0, []

    def find(self, name):
        return self

    def parts(self):
        return PARTS

    def stores_per_part(self):
        return 3

    def reaches(self, name):
        return False

    def spawn(self, coroutine):
        self.pending.append((self.time, coroutine))

    def call_leader(self, part, service, body, seconds):
        yield Sleep(self.delays[part])
        return WHOLE

    def drive(self, coroutine):
        """Run to the end; the parts that answer before the time-out do so in the order of time."""
        effect = next(coroutine)
        while True:
            assert isinstance(effect, Wait)
            end = self.time + effect.seconds
            for started_at, asked in self.pending:
                slept = next(asked)
                assert isinstance(slept, Sleep)
                if started_at + slept.seconds <= end:
                    with pytest.raises(StopIteration):
                        asked.send(None)
            self.pending, self.time = [], end
            try:
                effect = coroutine.send(isinstance(effect.signal, Signal) and effect.signal.is_set)
            except StopIteration as stop:
                return stop.value


def test_all_parts_that_answer_are_returned():
    stage = PartsStage(dict.fromkeys(PARTS, 0.01))
    assert len(stage.drive(fetch_group_statuses(stage, 1.0))) == len(PARTS)
    stage = PartsStage(dict.fromkeys(PARTS, 0.01))
    assert stage.drive(is_safe_to_remove(stage, "s9", 1.0)) is True


@pytest.mark.parametrize("seed", range(20))
def test_a_part_that_has_not_answered_is_not_passed_over(seed):
    chance = random.Random(seed)
    delays = dict.fromkeys(PARTS, 0.01)
    for part in chance.sample(PARTS, chance.randrange(1, len(PARTS) + 1)):
        delays[part] = 9.0
    stage = PartsStage(delays)
    with pytest.raises(TimedOut):
        stage.drive(is_safe_to_remove(stage, "s9", chance.choice([0.0, 1e-6, 1e-4, 1.0])))


def test_an_answer_of_a_part_that_failed_is_raised():
    stage = PartsStage(dict.fromkeys(PARTS, 0.01))

    def call_leader(part, service, body, seconds):
        yield Sleep(0.01)
        raise QuillringError(part=part)

    stage.call_leader = call_leader
    with pytest.raises(QuillringError):
        stage.drive(fetch_group_statuses(stage, 1.0))
