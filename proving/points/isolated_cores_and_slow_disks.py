"""Scenarios about cores isolated by a network partition."""

from proving.points.configuration import adopt
from proving.points.scenario_fleet import ScenarioFleet
from quillring.kernel.errors import Refused
from quillring.ownership import Ownership
from quillring.ownership.part_client import PartClient
from quillring.quorum.parts import CONFIG_PART

CUT_SECONDS = 20
ATTEMPT_TIMEOUT_SECONDS = 0.8
ANSWER_LIMIT_SECONDS = 1.0
SETTLED_SECONDS, SETTLED_ANSWER_LIMIT_SECONDS = 3, 0.1
CUT_DIRECTIONS = ("both", "outgoing", "incoming")


class NodeCalls:
    """Calls one node and counts and checks their outcomes."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.outcome_counts = {}
        self.slowest_seconds = {}
        self.confirmed = []
        self.number = 0
        self.isolation_known_at = fleet.env.now + SETTLED_SECONDS

    def record_outcome(self, kind, started_at, error):
        """Count the outcome of a call and check it.

        A final refusal is a violation, and so is an answer that takes too long: the limit is lower
        once the node has had SETTLED_SECONDS to notice that it is isolated.
        """
        fleet, seconds = self.fleet, self.fleet.env.now - started_at
        outcome = error.kind if error else "answered"
        self.outcome_counts[kind, outcome] = self.outcome_counts.get((kind, outcome), 0) + 1
        self.slowest_seconds[kind] = max(seconds, self.slowest_seconds.get(kind, 0))
        if error is not None and error.status < 500:
            fleet.sim.history.violate(f"{kind} at {self.name} got the final refusal {error}")
        if isinstance(error, Refused) and not error.may_retry_later:
            fleet.sim.history.violate(f"{kind} at {self.name} got a refusal that allows no retry")
        if seconds > (
            ANSWER_LIMIT_SECONDS
            if started_at < self.isolation_known_at
            else SETTLED_ANSWER_LIMIT_SECONDS
        ):
            fleet.sim.history.violate(f"{kind} at {self.name} took {seconds:.2f} s")

    def read(self, acknowledged_version):
        """Process: read the configuration; one older than `acknowledged_version` is a violation."""
        started_at, node = self.fleet.env.now, self.fleet.node(self.name)
        coroutine = node.find("ownership").read(
            CONFIG_PART, {"ask": "layout"}, ATTEMPT_TIMEOUT_SECONDS
        )
        answer, error = yield from self.fleet.sim.run_coroutine(node, coroutine)
        self.record_outcome("read", started_at, error)
        if answer is not None and answer["version"] < acknowledged_version:
            text = (
                f"{self.name} returned {answer['version']}, acknowledged was {acknowledged_version}"
            )
            self.fleet.sim.history.violate(text)

    def change(self, base_version):
        """Process: send a configuration change; record it for `check_confirmed` if acknowledged."""
        self.number += 1
        started_at, node = self.fleet.env.now, self.fleet.node(self.name)
        name = f"extra-{self.name}-{self.number}"
        command = {
            "do": "layout.adopt",
            "id": name,
            "whole": False,
            "base_version": base_version,
            "change": {"entries": {name: {"service": "words", "class": "traveller"}}},
        }
        coroutine = node.find("ownership").submit(CONFIG_PART, command, ATTEMPT_TIMEOUT_SECONDS)
        answer, error = yield from self.fleet.sim.run_coroutine(node, coroutine)
        self.record_outcome("change", started_at, error)
        if answer is not None:
            self.confirmed.append((name, answer["version"]))


def isolate_nodes(sim, names, direction):
    """Cut the named nodes off from all others, in one direction or both."""
    others = [name for name in sim.nodes if name not in names]
    if direction == "both":
        sim.cut(names, others)
    elif direction == "outgoing":
        sim.cut(names, others, both_ways=False)
    else:
        sim.cut(others, names, both_ways=False)


def control_node_names(fleet):
    """Return the names of the core that owns the configuration and of one of its stores."""
    owner = fleet.node("edge-1").find("gossip").get("owner/config")["owner"]
    stores = fleet.node(owner).find("ownership").group(CONFIG_PART)
    return [owner, stores[0][0]]


def call_for_seconds(fleet, node_calls, versions):
    """Call the isolated node four times a second; change the layout through another core.

    Appends the versions acknowledged there to `versions`.
    """
    elsewhere = next(name for name in fleet.sim.names("core") if name != node_calls.name)
    for step in range(CUT_SECONDS * 4):
        fleet.start(node_calls.read(max(versions)))
        fleet.start(node_calls.change(fleet.node(node_calls.name).find("layout").version))
        fleet.run(0.25)
        if step in (16, 40):
            change = {"entries": {f"new-{step}": {"service": "words", "class": "traveller"}}}
            answer, error = adopt(fleet, elsewhere, change)
            if answer is None:
                fleet.sim.history.violate(f"the change through {elsewhere} failed: {error}")
            else:
                versions.append(answer["version"])


def check_confirmed(fleet, node_calls):
    """Check that the final layout contains every acknowledged change."""
    entries = fleet.node("edge-1").find("layout").configuration["entries"]
    for name, _ in node_calls.confirmed:
        if name not in entries:
            fleet.sim.history.violate(f"{name} was acknowledged and is missing from the layout")


def seconds_until_served(fleet, node_calls):
    """Return the seconds from now until the node answers a read, or None after 10 s."""
    healed_at, node = fleet.env.now, fleet.node(node_calls.name)
    while fleet.env.now - healed_at < 10:
        coroutine = node.find("ownership").read(
            CONFIG_PART, {"ask": "layout"}, ATTEMPT_TIMEOUT_SECONDS
        )
        answer, _ = fleet.finish(fleet.start(fleet.sim.run_coroutine(node, coroutine)))
        if answer is not None:
            return round(fleet.env.now - healed_at, 2)
        fleet.run(0.05)
    return None


def cut_off_control(seed):
    """The core that owns the configuration and one of its stores are isolated for 20 s under calls.

    Run for a cut in both directions, outgoing only and incoming only. The core must neither return
    an outdated layout nor acknowledge a change that is lost, and must refuse quickly.
    """
    violations, figures = [], {}
    for number, direction in enumerate(CUT_DIRECTIONS):
        fleet = ScenarioFleet(seed * len(CUT_DIRECTIONS) + number)
        names = control_node_names(fleet)
        node_calls, versions = NodeCalls(fleet, names[0]), [1]
        isolate_nodes(fleet.sim, names, direction)
        call_for_seconds(fleet, node_calls, versions)
        fleet.sim.heal()
        served_after = seconds_until_served(fleet, node_calls)
        if served_after is None or served_after > fleet.sim.bounds.propagation:
            fleet.sim.history.violate(f"reads are answered again only after {served_after} s")
        fleet.run(2)
        check_confirmed(fleet, node_calls)
        violations += [f"{direction}: {text}" for text in fleet.sim.history.violations]
        outcome_counts = {
            f"{kind} {outcome}": n
            for (kind, outcome), n in sorted(node_calls.outcome_counts.items())
        }
        slowest_seconds = {
            kind: round(seconds, 2) for kind, seconds in node_calls.slowest_seconds.items()
        }
        figures[direction] = {
            **outcome_counts,
            "slowest_s": slowest_seconds,
            "back_after_s": served_after,
        }
    return violations, figures


def read_own(self, part, query, seconds=None):
    """Replaces the guard: a read returns the layout that this node knows, without any check."""
    snapshot = self.node.find("layout")
    return {"version": snapshot.version, "layout": snapshot.configuration}
    yield


def never_hopeless(self, part):
    """Replaces the guard: a call waits for a majority that can't be reached."""


POINTS = [
    (
        "a control machine that is cut off hands out and confirms nothing old",
        cut_off_control,
        [(Ownership, "read", read_own), (PartClient, "why_unavailable", never_hopeless)],
    ),
]
