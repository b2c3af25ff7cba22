"""What the edge adds to a call against asking the stand-in directly, on loopback."""

import json
import random
import statistics
import time

import click

from proving import callers
from proving.localfleet import LocalFleet


def timed(call, count):
    """Return the median milliseconds of a call."""
    times = []
    for _ in range(count):
        startTime = time.perf_counter()
        assert call()
        times.append((time.perf_counter() - startTime) * 1000)
    return round(statistics.median(times), 2)


@click.command()
@click.option("--run-folder", default="run/fleet", show_default=True)
@click.option("--count", default=200, show_default=True)
def main(run_folder, count):
    """Measure tiles and streams, directly and through an edge."""
    names = {"core-1", "core-2", "store-1", "store-2", "store-3", "edge-1", "edge-2", "map-1",
             "words-1"}
    fleet = LocalFleet("examples/ferrowa", run_folder, True, names)
    try:
        fleet.start_all()
        fleet.found()
        edge, replica = fleet.http("edge-1"), fleet.replicas["map-1"]["address"]
        _, beats = callers.ask(edge, "GET", "/v1/replicas")
        chance, record = random.Random(1), callers.Record()
        incarnation = next(r["incarnation"] for r in beats["replicas"] if r["name"] == "map-1")
        direct = timed(lambda: callers.ask(
            replica, "GET", f"/v1/tiles/1/1/1?inquiry=x&incarnation={incarnation}")[0] == 200,
            count)
        through = timed(
            lambda: callers.ask(edge, "GET", "/v1/tiles/tiles/1/1/1")[0] == 200, count)

        def stream():
            callers.stream_call(
                [edge], chance, record, time.monotonic, "wayfinding", "short", 20, 0.0)
            return True

        timed(stream, count // 4)
        firsts = statistics.median(record.firstPieces) * 1000
        click.echo(json.dumps({
            "tile_direct_ms": direct, "tile_through_edge_ms": through,
            "ratio": round(through / direct, 2), "first_piece_ms": round(firsts, 2),
            "stand_in_first_piece_ms": 9,
        }))
    finally:
        fleet.stop_all()


if __name__ == "__main__":
    main()
