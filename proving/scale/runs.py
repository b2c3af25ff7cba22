"""The scenarios of the scale run; each returns the mean counts and costs of a live node."""

import gc
import pathlib

from proving.scale.fleet import HollowFleet
from quillring.kernel.bounds import Bounds

MAX_SETTLE_WAITS = 8


def steady(fleet, seconds):
    """Nothing changes."""
    return fleet.measure(seconds)


def rack_lost(fleet, seconds):
    """An eighth of the edges is killed at once."""
    names = [node.me.name for node in fleet.live_nodes() if node.me.role == "edge"]
    fleet.kill(names[::8])
    return fleet.measure(seconds)


def bridge_cut(fleet, seconds):
    """The fleet is cut into halves, connected by two nodes only; the cut is healed at the end."""
    names = [node.me.name for node in fleet.live_nodes()]
    fleet.cut(names[2::2], names[3::2])
    spent = fleet.measure(seconds)
    fleet.net.heal()
    return spent


def healed(fleet, seconds):
    """The halves are connected again."""
    return fleet.measure(seconds)


def layout_changed(fleet, seconds):
    """A new layout is committed; `stale` counts the live nodes that did not get it."""
    fleet.change_configuration()
    return {**fleet.measure(seconds), "stale": fleet.stale_configurations()}


def core_lost(fleet, seconds):
    """A core is killed."""
    fleet.kill([next(node.me.name for node in fleet.live_nodes()[1:] if node.me.role == "core")])
    return fleet.measure(seconds)


SCENARIOS = [steady, layout_changed, core_lost, rack_lost, bridge_cut, healed]


def process_bytes(pid="self"):
    """Return the resident memory of a process, in bytes; assumes pages of 4096 bytes."""
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * 4096


def rss_bytes():
    """Return the resident memory of this process after a garbage collection, in bytes."""
    gc.collect()
    return process_bytes()


def run_size(size, replicas=0, entries=10, seed=1, only=(), seconds=None, news=2.0, warm=False):
    """Run the scenarios at one size; return the report with {scenario: costs of a node}."""
    bytes_before = rss_bytes()
    fleet = HollowFleet(size, seed, replicas, entries, Bounds(propagation=news))
    fleet.start_all(warm)
    scenario_seconds = fleet.bounds.heartbeat_interval * 8 if seconds is None else seconds
    rows = {"start": fleet.measure(scenario_seconds)}
    settled_at = None
    for _ in range(MAX_SETTLE_WAITS):
        if settled_at is None and not fleet.missing_links() and not fleet.stale_configurations():
            settled_at = fleet.env.now
            break
        fleet.env.run(until=fleet.env.now + scenario_seconds / 2)
    rows["start"]["settled_s"] = settled_at
    fleet.env.run(until=fleet.env.now + scenario_seconds)
    for scenario in SCENARIOS:
        if not only or scenario.__name__ in only:
            rows[scenario.__name__] = scenario(fleet, scenario_seconds)
    memory = (rss_bytes() - bytes_before) / size
    rows["memory"] = {"bytes_a_node": round(memory)}
    return {
        "size": size,
        "replicas": replicas,
        "entries": entries,
        "news": news,
        "warm": warm,
        "rows": rows,
        "faults": len(fleet.faults),
    }
