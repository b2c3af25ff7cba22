"""Load reports between nodes: recipients, sums, and late, expired and malformed reports."""

import random
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from proving.sim.scripted_runtime import ScriptedRuntime
from quillring.fleet import make_node
from quillring.forward.load_exchange import LoadExchange
from quillring.forward.load_messages import (
    LOAD_REPORT,
    ZONE_LOAD_REPORT,
    LoadReport,
    PromptStart,
    PromptTiming,
)
from quillring.forward.request import PromptPart
from quillring.kernel.bounds import Bounds
from quillring.kernel.errors import BadWire
from quillring.nifty import Member

START = PromptStart("r0", 9000, (PromptPart("ab", 5000),))
TIMING = PromptTiming("r0", 9000, 0.25)
JSON_LIKE = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=6) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=12,
)


class FakeGraph(NamedTuple):
    routes: dict


class FakeRoster(NamedTuple):
    members: dict


class FakeNifty:
    """Records sent messages; all members are reachable except those set as unreachable."""

    def __init__(self, members, me):
        self.members = {member.name: member for member in members}
        self.roster = FakeRoster(self.members)
        self.me, self.sent = me, []
        self.set_unreachable(())

    def set_unreachable(self, names):
        self.unreachable_names = set(names)
        reached = set(self.members) - self.unreachable_names - {self.me}
        self.graph = FakeGraph(dict.fromkeys(reached))

    def reaches(self, name):
        return name in self.members and name not in self.unreachable_names

    def find_member(self, name):
        return self.members.get(name)

    def send(self, target, message):
        self.sent.append((target, message["s"], message["b"]))
        return True


def member(name, zone, role="edge"):
    return Member(name, 1, role, zone, "10.0.0.1", 1, 2, "")


MEMBERS = [
    member("edge-n1", "north"),
    member("edge-n2", "north"),
    member("core-n", "north", "core"),
    member("store-n", "north", "store"),
    member("edge-s1", "south"),
    member("edge-s2", "south"),
]


class Stage:
    """The load exchange of one node, with recorded messages and callbacks."""

    def __init__(self, name="edge-n1"):
        me = next(m for m in MEMBERS if m.name == name)
        self.runtime = ScriptedRuntime()
        self.node = make_node(me, self.runtime, [], Bounds())
        self.nifty = self.node.offer("nifty", FakeNifty(MEMBERS, name))
        (
            self.own_in_flight,
            self.batch_in_flight,
            self.active_replicas,
            self.starts,
            self.timings,
        ) = {}, {}, [], [], []
        self.exchange = LoadExchange(
            self.node,
            lambda: dict(self.own_in_flight),
            lambda: dict(self.batch_in_flight),
            lambda: [],
            self.active_replicas.append,
            lambda start, is_in_zone: self.starts.append((start, is_in_zone)),
            self.timings.append,
        )

    def receive_report(
        self, origin, sequence, in_flight, incarnation=1, silent=(), starts=(), timings=()
    ):
        report = LoadReport(
            origin, incarnation, sequence, in_flight, {}, [*silent], [*starts], [*timings]
        )
        self.exchange.on_load_report(report.to_wire(), origin)


def zone_report(sequence, in_flight, zone="north", silent=(), starts=(), timings=(), incarnation=1):
    """Return the wire form of a load report of a zone."""
    return LoadReport(
        zone, incarnation, sequence, in_flight, {}, [*silent], [*starts], [*timings]
    ).to_wire()


def test_long_prompt_is_reported_immediately_to_the_sending_nodes_of_the_zone_only():
    stage = Stage()
    stage.own_in_flight = {"r0": 2}
    stage.exchange.report_prompt_start(START)
    assert {target for target, _, _ in stage.nifty.sent} == {"edge-n2", "core-n"}
    report = LoadReport.from_wire(stage.nifty.sent[0][2])
    assert (report.source, report.in_flight, report.starts) == ("edge-n1", {"r0": 2}, [START])


def test_load_is_reported_to_the_representative_only_which_is_a_core_if_one_is_reachable():
    stage = Stage()
    stage.own_in_flight = {"r0": 1}
    stage.exchange._report_own_load()
    assert [(target, name) for target, name, _ in stage.nifty.sent] == [("core-n", LOAD_REPORT)]
    stage.nifty.set_unreachable({"core-n"})
    representative = stage.exchange._representative("north")
    assert representative in ("edge-n1", "edge-n2")
    other = Stage("edge-n2")
    other.nifty.set_unreachable({"core-n"})
    assert other.exchange._representative("north") == representative


def test_node_without_requests_reports_zero_load_only_once():
    stage = Stage()
    stage.own_in_flight = {"r0": 1}
    stage.exchange._report_own_load()
    stage.own_in_flight = {}
    stage.exchange._report_own_load()
    count = len(stage.nifty.sent)
    assert LoadReport.from_wire(stage.nifty.sent[-1][2]).in_flight == {}
    stage.runtime.time += 100
    stage.exchange._report_own_load()
    assert len(stage.nifty.sent) == count


def test_unchanged_load_is_reported_again_before_it_expires():
    stage, representative = Stage(), Stage("core-n")
    stage.own_in_flight = representative.own_in_flight = {"r0": 1}
    reports = (stage.exchange._report_own_load, representative.exchange._report_zone_load)
    for reporter, report in zip((stage, representative), reports, strict=True):
        report()
        count = len(reporter.nifty.sent)
        report()
        assert len(reporter.nifty.sent) == count
        reporter.runtime.time += reporter.node.bounds.heartbeat_interval
        report()
        assert len(reporter.nifty.sent) > count
    assert stage.node.bounds.heartbeat_interval < stage.node.bounds.link_timeout


def test_representative_sums_the_zone_and_each_node_subtracts_its_own_requests():
    core, edge = Stage("core-n"), Stage("edge-n1")
    core.own_in_flight, edge.own_in_flight = {"r0": 1}, {"r0": 2, "r1": 1}
    edge.exchange._report_own_load()
    core.exchange.on_load_report(edge.nifty.sent[-1][2], "edge-n1")
    core.receive_report("edge-n2", 1, {"r1": 4})
    core.exchange._report_zone_load()
    assert {target for target, _, _ in core.nifty.sent} == {"edge-n1", "edge-n2"}
    assert [core.exchange.peer_in_flight(name) for name in ("r0", "r1")] == [2, 5]
    edge.exchange.on_zone_load_report(core.nifty.sent[0][2], "core-n")
    assert [edge.exchange.peer_in_flight(name) for name in ("r0", "r1")] == [1, 4]
    assert edge.exchange.peer_in_flight("unknown") == 0


def test_late_and_duplicate_reports_are_ignored():
    stage = Stage()
    stage.receive_report("edge-n2", 2, {"r0": 3}, starts=[START])
    stage.receive_report("edge-n2", 1, {"r0": 9}, starts=[START])
    stage.receive_report("edge-n2", 2, {"r0": 3}, starts=[START])
    assert stage.starts == [(START, True)]
    assert stage.exchange.node_reports["edge-n2"].report.in_flight == {"r0": 3}
    for sequence, in_flight in ((2, {"r0": 3}), (1, {"r0": 9, "r1": 9}), (2, {"r0": 3})):
        body = zone_report(sequence, in_flight, timings=[TIMING])
        stage.exchange.on_zone_load_report(body, "core-n")
    assert [stage.exchange.peer_in_flight(name) for name in ("r0", "r1")] == [3, 0]
    assert stage.timings == [TIMING]
    restarted = zone_report(1, {"r1": 1}, incarnation=2)
    stage.exchange.on_zone_load_report(restarted, "core-n")
    assert [stage.exchange.peer_in_flight(name) for name in ("r0", "r1")] == [0, 1]


@pytest.mark.parametrize("reason", ["silent", "unreachable"])
def test_load_of_an_unreachable_or_silent_node_is_dropped(reason):
    stage = Stage("core-n")
    stage.receive_report("edge-n1", 1, {"r0": 3})
    stage.receive_report("edge-n2", 1, {"r0": 2})
    stage.exchange.on_zone_load_report(zone_report(1, {"r0": 4}, "south"), "edge-s1")
    if reason == "unreachable":
        stage.nifty.set_unreachable({"edge-n1", "edge-s1"})
    else:
        stage.runtime.time += stage.node.bounds.link_timeout
        stage.receive_report("edge-n2", 2, {"r0": 2})
        stage.runtime.time += 0.01
    stage.exchange._drop_expired_reports()
    stage.exchange._report_zone_load()
    assert stage.exchange.peer_in_flight("r0") == 2


def test_zone_sum_and_long_prompts_reach_every_node_of_another_zone():
    sender = Stage("core-n")
    sender.own_in_flight = {"r0": 1}
    sender.receive_report("edge-n1", 1, {"r0": 4, "r1": 2}, starts=[START])
    sender.exchange._report_zone_load()
    sender.nifty.sent.clear()
    sender.exchange._report_to_other_zones()
    ((target, service, body),) = sender.nifty.sent
    report = LoadReport.from_wire(body)
    assert (service, report.source, report.in_flight, report.starts) == (
        ZONE_LOAD_REPORT,
        "north",
        {"r0": 5, "r1": 2},
        [START],
    )
    other = Stage(target)
    other.exchange.on_zone_load_report(body, "core-n")
    assert [other.exchange.peer_in_flight(name) for name in ("r0", "r1")] == [5, 2]
    assert other.starts == [(START, False)]
    ((peer, _, forwarded),) = other.nifty.sent
    last = Stage(peer)
    last.exchange.on_zone_load_report(forwarded, target)
    assert last.exchange.peer_in_flight("r0") == 5 and not last.nifty.sent
    sender.nifty.sent.clear()
    sender.exchange._report_to_other_zones()
    ((_, _, body),) = sender.nifty.sent
    assert LoadReport.from_wire(body).starts == [], "each prompt start is reported once"


def test_report_of_a_new_representative_replaces_the_previous_one():
    stage = Stage()
    stage.exchange.on_zone_load_report(zone_report(7, {"r0": 4}, "south"), "edge-s1")
    stage.exchange.on_zone_load_report(zone_report(1, {"r0": 3}, "south"), "edge-s2")
    assert stage.exchange.peer_in_flight("r0") == 3


def test_zone_sum_is_computed_from_the_last_report_of_each_node():
    rng = random.Random(5)
    for _ in range(50):
        stage, last = Stage("core-n"), {}
        for sequence in range(1, 40):
            origin = rng.choice(["edge-n1", "edge-n2"])
            in_flight = {f"r{n}": rng.randrange(1, 5) for n in rng.sample(range(4), 2)}
            stage.receive_report(origin, sequence, in_flight)
            last[origin] = in_flight
        stage.exchange._report_zone_load()
        for number in range(4):
            total = sum(in_flight.get(f"r{number}", 0) for in_flight in last.values())
            assert stage.exchange.peer_in_flight(f"r{number}") == total


def test_report_round_trips_through_its_wire_format():
    report = LoadReport("edge-n2", 3, 4, {"r0": 3}, {"r0": 1}, ["r0"], [START], [TIMING])
    assert LoadReport.from_wire(report.to_wire()) == report


@pytest.mark.parametrize(
    "body",
    [
        None,
        [],
        ["x", 1, 1, {}, {}, [], []],
        ["x", -1, 1, {}, {}, [], [], []],
        ["x", 1, True, {}, {}, [], [], []],
        ["x", 1, 1, {"r": -1}, {}, [], [], []],
        ["x", 1, 1, {"r": 1.5}, {}, [], [], []],
        ["x", 1, 1, {}, {"r": -1}, [], [], []],
        ["x", 1, 1, {}, [], [], [], []],
        ["x", 1, 1, {}, {}, [7], [], []],
        ["x", 1, 1, {}, {}, "r", [], []],
        ["x", 1, 1, {}, {}, [], [["r", 1]], []],
        ["x", 1, 1, {}, {}, [], [["r", 1, [["p", "q"]]]], []],
        ["x", 1, 1, {}, {}, [], [], [["r", 1, float("nan")]]],
        ["x", 1, 1, {}, {}, [], [], [["r", 1, 0.0]]],
        [7, 1, 1, {}, {}, [], [], []],
    ],
)
def test_malformed_report_is_rejected_without_side_effects(body):
    stage = Stage()
    for handler in (stage.exchange.on_load_report, stage.exchange.on_zone_load_report):
        with pytest.raises(BadWire):
            handler(body, "edge-n2")
    assert not stage.exchange.node_reports and not stage.exchange.zone_reports


@given(JSON_LIKE)
def test_arbitrary_value_is_parsed_or_rejected(body):
    try:
        report = LoadReport.from_wire(body)
    except BadWire:
        return
    assert LoadReport.from_wire(report.to_wire()) == report


def test_replica_is_silent_only_if_it_is_silent_towards_all_nodes_with_requests():
    core, edge = Stage("core-n"), Stage("edge-n1")
    core.receive_report("edge-n1", 1, {"r0": 1, "r1": 1}, silent=["r0", "r1"])
    core.receive_report("edge-n2", 1, {"r0": 1}, silent=[])
    core.exchange._report_zone_load()
    body = core.nifty.sent[0][2]
    assert LoadReport.from_wire(body).silent == ["r1"]
    edge.exchange.on_zone_load_report(body, "core-n")
    assert edge.active_replicas == core.active_replicas == ["r0"]


def test_batch_requests_are_counted_separately():
    core, other = Stage("core-n"), Stage("edge-s1")
    core.own_in_flight, core.batch_in_flight = {"r0": 3}, {"r0": 2}
    report = LoadReport("edge-n1", 1, 1, {"r0": 4}, {"r0": 1}, [], [], [])
    core.exchange.on_load_report(report.to_wire(), "edge-n1")
    core.exchange._report_zone_load()
    assert core.exchange.peer_in_flight("r0") == 4
    assert core.exchange.peer_batch_in_flight("r0") == 1
    core.nifty.sent.clear()
    core.exchange._report_to_other_zones()
    other.exchange.on_zone_load_report(core.nifty.sent[0][2], "core-n")
    assert other.exchange.peer_in_flight("r0") == 7
    assert other.exchange.peer_batch_in_flight("r0") == 3


def test_times_to_first_token_are_reported_once_to_the_nodes_of_the_zone():
    core, edge = Stage("core-n"), Stage("edge-n1")
    core.receive_report("edge-n2", 1, {}, timings=[TIMING])
    core.exchange._report_zone_load()
    edge.exchange.on_zone_load_report(core.nifty.sent[0][2], "core-n")
    assert edge.timings == core.timings == [TIMING]
    core.nifty.sent.clear()
    core.exchange._report_zone_load()
    assert not core.nifty.sent


def test_handlers_are_registered_for_both_messages():
    stage = Stage()
    assert {LOAD_REPORT, ZONE_LOAD_REPORT} <= set(stage.node.handlers)
