"""A store is safe to remove only after every part has answered that it does not need the store."""

import random

import pytest

from quillring.kernel.effects import Signal, Sleep, Wait
from quillring.kernel.errors import QuillringError, TimedOut
from quillring.quorum.leader.retirement_check import fetch_group_statuses, is_safe_to_remove

PARTS = ("config", "p0", "p1", "p2")
FULL_GROUP_STATUS = {"group": ["s1", "s2", "s3"], "late": [], "joining": []}


class PartsStage:
    """Replaces a node and its ownership: each part answers after a given delay in virtual time."""

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
        return FULL_GROUP_STATUS

    def drive(self, coroutine):
        """Run a coroutine to its end; requests whose delay ends before the timeout are answered."""
        effect = next(coroutine)
        while True:
            assert isinstance(effect, Wait)
            end = self.time + effect.seconds
            for started_at, request in self.pending:
                sleep_effect = next(request)
                assert isinstance(sleep_effect, Sleep)
                if started_at + sleep_effect.seconds <= end:
                    with pytest.raises(StopIteration):
                        request.send(None)
            self.pending, self.time = [], end
            try:
                effect = coroutine.send(isinstance(effect.signal, Signal) and effect.signal.is_set)
            except StopIteration as stop:
                return stop.value


def test_the_statuses_of_all_parts_are_returned():
    stage = PartsStage(dict.fromkeys(PARTS, 0.01))
    assert len(stage.drive(fetch_group_statuses(stage, 1.0))) == len(PARTS)
    stage = PartsStage(dict.fromkeys(PARTS, 0.01))
    assert stage.drive(is_safe_to_remove(stage, "s9", 1.0)) is True


@pytest.mark.parametrize("seed", range(20))
def test_a_part_that_does_not_answer_in_time_raises_a_timeout(seed):
    rng = random.Random(seed)
    delays = dict.fromkeys(PARTS, 0.01)
    for part in rng.sample(PARTS, rng.randrange(1, len(PARTS) + 1)):
        delays[part] = 9.0
    stage = PartsStage(delays)
    with pytest.raises(TimedOut):
        stage.drive(is_safe_to_remove(stage, "s9", rng.choice([0.0, 1e-6, 1e-4, 1.0])))


def test_the_error_of_a_part_is_raised():
    stage = PartsStage(dict.fromkeys(PARTS, 0.01))

    def call_leader(part, service, body, seconds):
        yield Sleep(0.01)
        raise QuillringError(part=part)

    stage.call_leader = call_leader
    with pytest.raises(QuillringError):
        stage.drive(fetch_group_statuses(stage, 1.0))
