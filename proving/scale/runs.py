"""The scenarios of the scale run; each returns the counted work a live node spent in it."""

import gc
import pathlib

from proving.scale.fleet import HollowFleet
from quillring.kernel.bounds import Bounds

SETTLE_LIMIT = 8


def steady(fleet, seconds):
    """Nothing happens."""
    return fleet.spend(seconds)


def rack_lost(fleet, seconds):
    """An eighth of the edges is lost at once."""
    names = [node.me.name for node in fleet.live() if node.me.role == "edge"]
    fleet.kill(names[::8])
    return fleet.spend(seconds)


def bridge_cut(fleet, seconds):
    """The fleet is cut in halves but for two nodes, and healed after that."""
    names = [node.me.name for node in fleet.live()]
    fleet.cut(names[2::2], names[3::2])
    spent = fleet.spend(seconds)
    fleet.net.heal()
    return spent


def healed(fleet, seconds):
    """The halves hear each other again."""
    return fleet.spend(seconds)


def layout_changed(fleet, seconds):
    """Operators commit a layout; it has to be everywhere."""
    fleet.change_configuration()
    return {**fleet.spend(seconds), "stale": fleet.stale_configurations()}


def core_lost(fleet, seconds):
    """A core is lost."""
    fleet.kill([next(node.me.name for node in fleet.live()[1:] if node.me.role == "core")])
    return fleet.spend(seconds)


SCENARIOS = [steady, layout_changed, core_lost, rack_lost, bridge_cut, healed]


def process_bytes(pid="self"):
    """Return the resident memory of a process."""
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * 4096


def rss_bytes():
    """Return the resident memory of this process, garbage left out."""
    gc.collect()
    return process_bytes()


def run_size(size, replicas=0, entries=10, seed=1, only=(), seconds=None, news=2.0, warm=False):
    """Run all scenarios at one size; return {scenario: work of a node}."""
    before = rss_bytes()
    fleet = HollowFleet(size, seed, replicas, entries, Bounds(propagation=news))
    fleet.start_all(warm)
    span = fleet.bounds.heartbeat_interval * 8 if seconds is None else seconds
    rows = {"start": fleet.spend(span)}
    settled_at = None
    for _ in range(SETTLE_LIMIT):
        if settled_at is None and not fleet.missing_links() and not fleet.stale_configurations():
            settled_at = fleet.env.now
            break
        fleet.env.run(until=fleet.env.now + span / 2)
    rows["start"]["settled_s"] = settled_at
    fleet.env.run(until=fleet.env.now + span)
    for scenario in SCENARIOS:
        if not only or scenario.__name__ in only:
            rows[scenario.__name__] = scenario(fleet, span)
    memory = (rss_bytes() - before) / size
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
