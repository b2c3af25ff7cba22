"""Measures what an edge adds to a call, compared with calling the replica directly."""

import json
import os
import pathlib
import random
import statistics
import time

import click
from geventhttpclient import HTTPClient

from proving.tools import callers
from proving.tools.local_fleet import LocalFleet
from quillring.kernel.settings import split_address


def median_milliseconds(call, count):
    """Return the median milliseconds of a call over `count` calls."""
    times = []
    for _ in range(count):
        start_time = time.perf_counter()
        assert call()
        times.append((time.perf_counter() - start_time) * 1000)
    return round(statistics.median(times), 2)


def measure_reused_connections(fleet, incarnation, count):
    """Measure tile calls over reused connections.

    Return the median milliseconds directly and through the edge, and the share of a core that
    100 calls a second take at the edge, without its idle load.
    """
    replica, edge = fleet.replicas["map-1"]["address"], fleet.http("edge-1")
    paths = {
        replica: f"/v1/tiles/1/1/1?inquiry=x&incarnation={incarnation}",
        edge: "/v1/tiles/tiles/1/1/1",
    }
    medians, core_shares_and_seconds = {}, {}
    for address, path in paths.items():
        client = HTTPClient(*split_address(address), concurrency=1)
        before, start_time = cpu_seconds(fleet.processes["edge-1"].pid), time.perf_counter()
        medians[address] = median_milliseconds(
            lambda c=client, p=path: json.loads(c.request("GET", p).read()), count * 4
        )
        spent = cpu_seconds(fleet.processes["edge-1"].pid) - before
        core_shares_and_seconds[address] = (
            spent / (time.perf_counter() - start_time),
            spent / (count * 4),
        )
        client.close()
    idle_share = core_shares_and_seconds[replica][0]
    busy_seconds = core_shares_and_seconds[edge][1] - idle_share * medians[edge] / 1000
    return medians[replica], medians[edge], round(busy_seconds * 100, 3)


def cpu_seconds(pid):
    """Return the processor seconds that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@click.command()
@click.option("--run-folder", default="run/fleet", show_default=True)
@click.option("--count", default=200, show_default=True)
def main(run_folder, count):
    """Measure tile calls directly and through an edge, and streams through an edge."""
    names = {
        "core-1",
        "core-2",
        "store-1",
        "store-2",
        "store-3",
        "edge-1",
        "edge-2",
        "map-1",
        "words-1",
    }
    fleet = LocalFleet("examples/ferrowa", run_folder, True, names)
    try:
        fleet.start_all()
        fleet.found()
        edge, replica = fleet.http("edge-1"), fleet.replicas["map-1"]["address"]
        _, replicas_answer = callers.ask(edge, "GET", "/v1/replicas")
        rng, record = random.Random(1), callers.Record()
        incarnation = next(
            r["incarnation"] for r in replicas_answer["replicas"] if r["name"] == "map-1"
        )
        direct = median_milliseconds(
            lambda: (
                callers.ask(replica, "GET", f"/v1/tiles/1/1/1?inquiry=x&incarnation={incarnation}")[
                    0
                ]
                == 200
            ),
            count,
        )
        through_edge = median_milliseconds(
            lambda: callers.ask(edge, "GET", "/v1/tiles/tiles/1/1/1")[0] == 200, count
        )

        reused_direct, reused_through, share = measure_reused_connections(fleet, incarnation, count)

        def stream():
            callers.stream_call([edge], rng, record, time.monotonic, "wayfinding", "short", 20, 0.0)
            return True

        median_milliseconds(stream, count // 4)
        first_piece_median_ms = statistics.median(record.first_piece_seconds) * 1000
        click.echo(
            json.dumps(
                {
                    "tile_direct_ms": direct,
                    "tile_through_edge_ms": through_edge,
                    "ratio": round(through_edge / direct, 2),
                    "kept_direct_ms": reused_direct,
                    "kept_through_edge_ms": reused_through,
                    "kept_ratio": round(reused_through / reused_direct, 2),
                    "core_share_per_100_tiles_a_second": share,
                    "first_piece_ms": round(first_piece_median_ms, 2),
                    "stand_in_first_piece_ms": 9,
                }
            )
        )
    finally:
        fleet.stop_all()


if __name__ == "__main__":
    main()
