"""What the edge adds to a call against asking the stand-in directly, on loopback."""

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


def timed(call, count):
    """Return the median milliseconds of a call."""
    times = []
    for _ in range(count):
        start_time = time.perf_counter()
        assert call()
        times.append((time.perf_counter() - start_time) * 1000)
    return round(statistics.median(times), 2)


def kept_calls(fleet, incarnation, count):
    """Return medians over kept connections, and the edge's share of a core."""
    replica, edge = fleet.replicas["map-1"]["address"], fleet.http("edge-1")
    paths = {
        replica: f"/v1/tiles/1/1/1?inquiry=x&incarnation={incarnation}",
        edge: "/v1/tiles/tiles/1/1/1",
    }
    medians, used = {}, {}
    for address, path in paths.items():
        client = HTTPClient(*split_address(address), concurrency=1)
        before, start_time = cpu_seconds(fleet.processes["edge-1"].pid), time.perf_counter()
        medians[address] = timed(
            lambda c=client, p=path: json.loads(c.request("GET", p).read()), count * 4
        )
        spent = cpu_seconds(fleet.processes["edge-1"].pid) - before
        used[address] = spent / (time.perf_counter() - start_time), spent / (count * 4)
        client.close()
    idle_share = used[replica][0]
    busy_seconds = used[edge][1] - idle_share * medians[edge] / 1000
    return medians[replica], medians[edge], round(busy_seconds * 100, 3)


def cpu_seconds(pid):
    """Return the processor seconds that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@click.command()
@click.option("--run-folder", default="run/fleet", show_default=True)
@click.option("--count", default=200, show_default=True)
def main(run_folder, count):
    """Measure tiles and streams, directly and through an edge."""
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
        _, beats = callers.ask(edge, "GET", "/v1/replicas")
        chance, record = random.Random(1), callers.Record()
        incarnation = next(r["incarnation"] for r in beats["replicas"] if r["name"] == "map-1")
        direct = timed(
            lambda: (
                callers.ask(replica, "GET", f"/v1/tiles/1/1/1?inquiry=x&incarnation={incarnation}")[
                    0
                ]
                == 200
            ),
            count,
        )
        through = timed(lambda: callers.ask(edge, "GET", "/v1/tiles/tiles/1/1/1")[0] == 200, count)

        kept_direct, kept_through, share = kept_calls(fleet, incarnation, count)

        def stream():
            callers.stream_call(
                [edge], chance, record, time.monotonic, "wayfinding", "short", 20, 0.0
            )
            return True

        timed(stream, count // 4)
        firsts = statistics.median(record.first_pieces) * 1000
        click.echo(
            json.dumps(
                {
                    "tile_direct_ms": direct,
                    "tile_through_edge_ms": through,
                    "ratio": round(through / direct, 2),
                    "kept_direct_ms": kept_direct,
                    "kept_through_edge_ms": kept_through,
                    "kept_ratio": round(kept_through / kept_direct, 2),
                    "core_share_per_100_tiles_a_second": share,
                    "first_piece_ms": round(firsts, 2),
                    "stand_in_first_piece_ms": 9,
                }
            )
        )
    finally:
        fleet.stop_all()


if __name__ == "__main__":
    main()
