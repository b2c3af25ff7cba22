"""Scenarios about cores cut off by a partition, and about disks that stall."""

from proving.points.configuration import adopt
from proving.points.scenario_fleet import Stage
from quillring.kernel.errors import Refused
from quillring.ownership import Ownership
from quillring.ownership.part_client import PartClient
from quillring.quorum.parts import CONFIG_PART

CUT_SECONDS = 20
TRY_SECONDS = 0.8
ANSWER_BOUND = 1.0
SETTLED_SECONDS, SETTLED_BOUND = 3, 0.1
WAYS = ("both", "outgoing", "incoming")


class Calls:
    """What callers of one node are told, call by call."""

    def __init__(self, stage, name):
        self.stage = stage
        self.name = name
        self.told = {}
        self.slowest = {}
        self.confirmed = []
        self.number = 0
        self.settled_at = stage.env.now + SETTLED_SECONDS

    def note(self, kind, begun_at, error):
        """Take how a call ended; a final refusal is a violation, and so is a slow answer."""
        stage, seconds = self.stage, self.stage.env.now - begun_at
        outcome = error.kind if error else "answered"
        self.told[kind, outcome] = self.told.get((kind, outcome), 0) + 1
        self.slowest[kind] = max(seconds, self.slowest.get(kind, 0))
        if error is not None and error.status < 500:
            stage.sim.history.violate(f"{kind} at {self.name} got the final refusal {error}")
        if isinstance(error, Refused) and not error.may_retry_later:
            stage.sim.history.violate(f"{kind} at {self.name} is not told to come back")
        if seconds > (ANSWER_BOUND if begun_at < self.settled_at else SETTLED_BOUND):
            stage.sim.history.violate(f"{kind} at {self.name} took {seconds:.2f} s")

    def read(self, due_version):
        """Process: read the configuration; an older one than was due is a violation."""
        begun_at, node = self.stage.env.now, self.stage.node(self.name)
        coroutine = node.find("ownership").read(CONFIG_PART, {"ask": "layout"}, TRY_SECONDS)
        answer, error = yield from self.stage.sim.run_coroutine(node, coroutine)
        self.note("read", begun_at, error)
        if answer is not None and answer["version"] < due_version:
            text = f"{self.name} hands out {answer['version']}, {due_version} was acknowledged"
            self.stage.sim.history.violate(text)

    def change(self, base_version):
        """Process: send a change of the configuration; what is confirmed is kept for the end."""
        self.number += 1
        begun_at, node = self.stage.env.now, self.stage.node(self.name)
        name = f"extra-{self.name}-{self.number}"
        command = {
            "do": "layout.adopt",
            "id": name,
            "whole": False,
            "base_version": base_version,
            "change": {"entries": {name: {"service": "words", "class": "traveller"}}},
        }
        coroutine = node.find("ownership").submit(CONFIG_PART, command, TRY_SECONDS)
        answer, error = yield from self.stage.sim.run_coroutine(node, coroutine)
        self.note("change", begun_at, error)
        if answer is not None:
            self.confirmed.append((name, answer["version"]))


def cut_way(sim, names, way):
    """Cut a control machine off from all others, one way or both."""
    others = [name for name in sim.nodes if name not in names]
    if way == "both":
        sim.cut(names, others)
    elif way == "outgoing":
        sim.cut(names, others, both_ways=False)
    else:
        sim.cut(others, names, both_ways=False)


def control_machine(stage):
    """Return the core that owns the configuration and one of its stores."""
    owner = stage.node("edge-1").find("gossip").get("owner/config")["owner"]
    stores = stage.node(owner).find("ownership").group(CONFIG_PART)
    return [owner, stores[0][0]]


def call_for_seconds(stage, calls, versions):
    """Call a machine four times a second while it is cut off; change the layout elsewhere."""
    elsewhere = next(name for name in stage.sim.names("core") if name != calls.name)
    for step in range(CUT_SECONDS * 4):
        stage.start(calls.read(max(versions)))
        stage.start(calls.change(stage.node(calls.name).find("layout").version))
        stage.run(0.25)
        if step in (16, 40):
            change = {"entries": {f"new-{step}": {"service": "words", "class": "traveller"}}}
            answer, error = adopt(stage, elsewhere, change)
            if answer is None:
                stage.sim.history.violate(f"no change elsewhere: {error}")
            else:
                versions.append(answer["version"])


def check_confirmed(stage, calls):
    """Every change that was confirmed holds in the end."""
    entries = stage.node("edge-1").find("layout").configuration["entries"]
    for name, _ in calls.confirmed:
        if name not in entries:
            stage.sim.history.violate(f"{name} was confirmed and does not hold")


def seconds_until_served(stage, calls):
    """Return how long after the cut the machine answers a read again."""
    healed_at, node = stage.env.now, stage.node(calls.name)
    while stage.env.now - healed_at < 10:
        coroutine = node.find("ownership").read(CONFIG_PART, {"ask": "layout"}, TRY_SECONDS)
        answer, _ = stage.finish(stage.start(stage.sim.run_coroutine(node, coroutine)))
        if answer is not None:
            return round(stage.env.now - healed_at, 2)
        stage.run(0.05)
    return None


def cut_off_control(seed):
    """A control machine is cut off for 20 s, each way; callers go on asking it all the while."""
    violations, figures = [], {}
    for number, way in enumerate(WAYS):
        stage = Stage(seed * len(WAYS) + number)
        names = control_machine(stage)
        calls, versions = Calls(stage, names[0]), [1]
        cut_way(stage.sim, names, way)
        call_for_seconds(stage, calls, versions)
        stage.sim.heal()
        served_after = seconds_until_served(stage, calls)
        if served_after is None or served_after > stage.sim.bounds.propagation:
            stage.sim.history.violate(f"serves again after {served_after} s")
        stage.run(2)
        check_confirmed(stage, calls)
        violations += [f"{way}: {text}" for text in stage.sim.history.violations]
        told = {f"{kind} {outcome}": n for (kind, outcome), n in sorted(calls.told.items())}
        slowest = {kind: round(seconds, 2) for kind, seconds in calls.slowest.items()}
        figures[way] = {**told, "slowest_s": slowest, "back_after_s": served_after}
    return violations, figures


def read_own(self, part, query, seconds=None):
    """Stand-in for the guard: whatever this node knows is handed out, nobody is asked."""
    snapshot = self.node.find("layout")
    return {"version": snapshot.version, "layout": snapshot.configuration}
    yield


def never_hopeless(self, part):
    """Stand-in for the guard: a call waits for a majority that can't be reached."""


POINTS = [
    (
        "a control machine that is cut off hands out and confirms nothing old",
        cut_off_control,
        [(Ownership, "read", read_own), (PartClient, "why_unavailable", never_hopeless)],
    ),
]
