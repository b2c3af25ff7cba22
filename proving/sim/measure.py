"""Measurements in simulated time of figures that the design promises; prints one JSON line each."""

import json
import statistics

import click

from proving.points.configuration import adopt
from proving.points.scenario_fleet import ScenarioFleet

MANY_REPLICAS = {"replicas": [("words", 6, 8), ("map", 4, 8)]}


def sizes(edges, cores=4, stores=4):
    """Return the options of a fleet with these numbers of nodes."""
    return {"sizes": {"edge": edges, "core": cores, "store": stores}, **MANY_REPLICAS}


def beats_by_nodes(seed):
    """Heartbeats and heartbeat bytes per second and node, and graph changes, by node count."""
    rows = {}
    for count in (16, 28, 64, 128):
        stage = ScenarioFleet(seed, sizes=sizes(count - 8), ready_at=10)
        before = {n: dict(node.counts) for n, node in stage.sim.nodes.items()}
        stage.run(4)
        nodes = stage.sim.nodes.values()
        spent = [
            {
                k: n.counts.get(k, 0) - before[n.me.name].get(k, 0)
                for k in ("beats_sent", "beat_bytes", "graph_changes")
            }
            for n in nodes
        ]
        rows[count] = {
            "beats_a_second": round(statistics.median(s["beats_sent"] for s in spent) / 4, 1),
            "bytes_a_second": round(statistics.median(s["beat_bytes"] for s in spent) / 4),
            "bytes_a_beat": round(
                sum(s["beat_bytes"] for s in spent) / sum(s["beats_sent"] for s in spent)
            ),
            "graph_changes": sum(s["graph_changes"] for s in spent),
        }
    return rows


def run_until(stage, is_done, seconds=20, step=0.01):
    """Run until a condition holds, at most `seconds`; return the simulated seconds it took."""
    start_time = stage.env.now
    while not is_done() and stage.env.now - start_time < seconds:
        stage.run(step)
    return round(stage.env.now - start_time, 3)


def detection(seed):
    """Time until a cut is detected, rerouted and found healed, in heartbeat periods of 0.5 s."""
    found, rerouted, healed = [], [], []
    for number in range(8):
        stage = ScenarioFleet(seed + number)
        stage.run(0.5 + number * 0.07)
        node = stage.node("edge-1")
        stage.sim.cut(["edge-1"], ["store-1"])
        found.append(run_until(stage, lambda n=node: n.find("nifty").graph.hops("store-1") != 1))
        rerouted.append(
            found[-1] + run_until(stage, lambda n=node: n.find("nifty").graph.hops("store-1") == 2)
        )
        stage.run(2)
        stage.sim.heal()
        healed.append(run_until(stage, lambda n=node: n.find("nifty").graph.hops("store-1") == 1))
    return {
        name: {"median": round(statistics.median(v) / 0.5, 2), "most": round(max(v) / 0.5, 2)}
        for name, v in (("broken", found), ("rerouted", rerouted), ("healed", healed))
    }


def propagation(seed):
    """Time from the acceptance of a configuration until the last live node has it."""
    times = []
    for number in range(6):
        stage = ScenarioFleet(seed + number, sizes=sizes(20))
        adopt(stage, "core-1", {"entries": {"extra": {"service": "words", "class": "traveller"}}})
        times.append(
            run_until(
                stage,
                lambda s=stage: all(
                    n.find("layout").version == 2
                    for n in s.sim.nodes.values()
                    if n.me.role != "store"
                ),
            )
        )
    return {"nodes": 28, "median_s": statistics.median(times), "most_s": max(times)}


def takeover(seed):
    """Time from the crash of a part's owner to the first commit under the next owner."""
    times = []
    for number in range(8):
        stage = ScenarioFleet(seed + number)
        stage.run(0.5 + number * 0.11)
        owner = stage.node("edge-1").find("gossip").get("owner/part-1")["owner"]
        stage.sim.kill(owner)
        start_time = stage.env.now
        before = stage.sim.history.counts.get("accepted_lots", 0)
        stage.start(stage.callers.lot("gate-notices", 1, 0.0))
        run_until(stage, lambda s=stage, b=before: s.sim.history.counts.get("accepted_lots", 0) > b)
        times.append(round(stage.env.now - start_time, 3))
    return {"median_s": statistics.median(times), "most_s": max(times)}


def fsyncs(seed):
    """Store syncs per accepted lot, for one lot and for forty submitted at once."""
    rows = {}
    for label, count in (("one", 1), ("forty at once", 40)):
        stage = ScenarioFleet(seed)
        stage.run(1)
        for replica in stage.sim.replicas.values():
            replica.is_dark = True
        stage.run(2.5)
        before = sum(d.syncs for d in stage.sim.disks.values())
        lots_before = stage.sim.history.counts.get("accepted_lots", 0)
        for _ in range(count):
            stage.start(stage.callers.lot("gate-notices", 5, 0.0))
        run_until(
            stage,
            lambda s=stage, q=lots_before, c=count: (
                s.sim.history.counts.get("accepted_lots", 0) >= q + c
            ),
        )
        spent = sum(d.syncs for d in stage.sim.disks.values()) - before
        rows[label] = round(spent / count, 2)
    return rows


def cache_hits(seed):
    """Share of model inquiries whose prefix was in the replica's cache."""
    rows = {}
    for label, prefixes in (("two prefixes", 2), ("forty prefixes", 40)):
        stage = ScenarioFleet(seed, sizes=sizes(7))
        entries = {
            f"p-{n}": {"service": "words", "class": "traveller", "prefix": f"prefix {n}"}
            for n in range(prefixes)
        }
        adopt(stage, "core-1", {"entries": entries})
        stage.run(1)
        rng = stage.sim.chance
        stage.callers.stop_at = stage.env.now + 30

        def stream_random_prefix(stage=stage, rng=rng, prefixes=prefixes):
            yield from stage.callers.stream(f"p-{rng.randrange(prefixes)}", "short", 8)

        stage.start(stage.callers.generate(20, stream_random_prefix))
        stage.run(32)
        logics = [r.logic for r in stage.sim.replicas.values() if r.row["service"] == "words"]
        hits, misses = sum(x.hits for x in logics), sum(x.misses for x in logics)
        rows[label] = round(hits / (hits + misses), 3)
    return rows


def relay_weight(seed):
    """Messages per second that each bridge relays, with one to three bridges."""
    rows = {}
    for count in (1, 2, 3):
        stage = ScenarioFleet(
            seed, sizes={"sizes": {"edge": 4, "core": 3, "store": 4}, **MANY_REPLICAS}
        )
        cores = stage.sim.names("core")
        stage.sim.cut([*stage.sim.names("edge"), *cores[count:]], [*stage.sim.names("store")])
        stage.run(4)
        before = {c: stage.node(c).counts.get("relayed", 0) for c in cores[:count]}
        stage.run(5)
        rows[count] = [
            round((stage.node(c).counts.get("relayed", 0) - before[c]) / 5, 1)
            for c in cores[:count]
        ]
    return rows


MEASURES = [beats_by_nodes, detection, propagation, takeover, fsyncs, cache_hits, relay_weight]


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--only", default="", help="Run only measurements whose name contains this text.")
def main(seed, only):
    """Run the measurements and print one JSON line for each."""
    for measure in MEASURES:
        if only in measure.__name__:
            click.echo(json.dumps({"measure": measure.__name__, **measure(seed)}))


if __name__ == "__main__":
    main()
