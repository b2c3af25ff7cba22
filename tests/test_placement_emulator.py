"""The emulator: engine behaviour, reproducible runs, and comparison of policies."""

import pytest
import simpy
from click.testing import CliRunner

from proving.ablation import CONSTANTS, MECHANISMS, sensitivity_changes
from proving.placement.__main__ import main, parse_change
from proving.placement.engine import Engine, EngineRequest
from proving.placement.run import Emulation
from proving.placement.shapes import EngineShape, Fault, load_shape, shape_names
from quillring.forward.policy import DEFAULT_POLICY

SHAPE = EngineShape(
    slots=2,
    kv_tokens=50_000,
    step_seconds=0.001,
    prompt_tokens_per_second=100_000.0,
    quadratic_seconds_per_million=0.0,
    chunk_tokens=1000,
    speeds=(1.0,),
)


def small_shape(name="many_small", **fields):
    """Return a shape whose simulation takes less than a second."""
    shape = load_shape(name)._replace(seconds=4.0, edges_per_zone=2, replicas_per_zone=3)
    classes = tuple(
        cls._replace(requests_per_second=cls.requests_per_second / 4) for cls in shape.classes
    )
    return shape._replace(classes=classes, zones=2, **fields)


class EngineFixture:
    """One engine, with the times of each request's first token and end."""

    def __init__(self, **fields):
        self.env = simpy.Environment()
        self.engine = Engine(self.env, SHAPE._replace(**fields), 1.0, "r")
        self.env.process(self.engine.run())
        self.first, self.ended = {}, {}

    def submit(self, name, tokens, parts=(), output=10):
        request = EngineRequest(
            parts,
            tokens,
            output,
            lambda at: self.first.setdefault(name, at),
            lambda at, is_completed: self.ended.setdefault(name, (at, is_completed)),
        )
        return self.engine.submit(request)


def test_prompts_are_processed_in_order_of_arrival():
    stage = EngineFixture()
    stage.submit("long", 20_000)
    stage.submit("short", 500)
    stage.env.run(until=2)
    assert 0.2 <= stage.first["long"] < stage.first["short"] < 0.25


def test_a_cached_part_is_not_processed_again_unless_it_was_evicted():
    stage = EngineFixture()
    for number, parts in enumerate(
        ([("a", 20_000)], [("a", 20_000)], [("b", 45_000)], [("a", 20_000)])
    ):
        stage.submit(number, parts[0][1] + 1000, parts)
        stage.env.run(until=stage.env.now + 2)
    times = [stage.first[number] - 2 * number for number in range(4)]
    assert times[1] < times[0] / 5 and times[3] > times[0] * 0.9
    assert stage.engine.reread_tokens == 20_000


def test_processing_a_long_prompt_delays_running_streams_of_the_replica():
    stage = EngineFixture()
    stage.submit("stream", 100, output=100)
    stage.env.run(until=0.02)
    (running,) = stage.engine.running
    stage.submit("long", 30_000)
    stage.env.run(until=2)
    assert running.longest_gap_seconds > 0.25


def test_slots_limit_running_requests_and_a_full_queue_rejects_requests():
    stage = EngineFixture()
    accepted = [stage.submit(number, 100, output=1000) for number in range(12)]
    assert accepted.count(False) == 12 - 2 * 3 and stage.engine.rejected_count == 6
    stage.env.run(until=0.5)
    assert len(stage.first) == 2


def test_a_crash_fails_running_requests_and_rejects_new_ones():
    stage = EngineFixture()
    stage.submit("a", 100, output=1000)
    stage.env.run(until=0.1)
    stage.engine.crash()
    assert stage.ended["a"][1] is False and not stage.submit("b", 100)


@pytest.mark.parametrize("seed", [1, 2])
def test_runs_with_the_same_seed_give_the_same_result(seed):
    results = [Emulation(small_shape(), DEFAULT_POLICY, seed).simulate() for _ in range(2)]
    assert results[0] == results[1]


def test_sharing_load_reports_improves_estimates_and_p99_of_short_requests():
    shape = small_shape()._replace(edges_per_zone=8)
    shared = [Emulation(shape, DEFAULT_POLICY, seed).simulate() for seed in range(5)]
    unshared_policy = DEFAULT_POLICY._replace(shares_load=False)
    unshared = [Emulation(shape, unshared_policy, seed).simulate() for seed in range(5)]
    for with_sharing, without_sharing in zip(shared, unshared, strict=True):
        assert with_sharing.mean_estimate_error < without_sharing.mean_estimate_error
        assert without_sharing.messages == 0 < with_sharing.messages
    assert sum(r.p99["short"] for r in shared) < sum(r.p99["short"] for r in unshared)


def test_most_requests_meet_their_goals_during_faults():
    faults = (
        Fault("crash", 1.0, 1.0, share=0.3),
        Fault("slow", 1.5, 1.0, share=0.3, factor=5.0),
        Fault("burst", 1.0, 1.0, factor=2.0),
        Fault("edge_loss", 2.0, 1.0, share=0.3),
    )
    result = Emulation(small_shape(faults=faults), DEFAULT_POLICY, 1).simulate()
    assert 0.5 < result.in_time <= 1.0


def test_all_shapes_load_and_every_policy_field_is_covered_by_the_ablation():
    assert len(shape_names()) >= 6
    for name in shape_names():
        assert load_shape(name).classes
    for change in (*MECHANISMS.values(), *sensitivity_changes().values()):
        parse_change(change)
    assert set(CONSTANTS) <= set(DEFAULT_POLICY._fields)
    covered_fields = {name.partition("=")[0] for c in MECHANISMS.values() for name in c.split(",")}
    covered_fields |= {"default", "min_prefix_tokens", "min_reported_tokens", "cache_share"}
    assert set(DEFAULT_POLICY._fields) <= covered_fields


def test_an_unknown_policy_field_is_rejected():
    assert CliRunner().invoke(main, ["--policy", "nonsense=1", "--seeds", "1"]).exit_code != 0
