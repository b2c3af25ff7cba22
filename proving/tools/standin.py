"""A stand-in back end as a process: model, map or checkout replica over HTTP/1.1 + JSON."""

import json
import signal
import time
from urllib.parse import parse_qsl

import click
import gevent
import gevent.event

from proving.tools.fake_replica_logic import StandIn, piece_count, piece_text, seat_word, tile_word
from quillring.kernel import backend
from quillring.kernel.effects import FetchJson
from quillring.kernel.errors import QuillringError
from quillring.kernel.settings import split_address
from quillring.kernel.wsgi_server import start_wsgi_server

PIECE_SECONDS = 0.004
BEAT_SECONDS = 0.4


def answer(start_response, body, status="200 OK"):
    """Send one JSON body."""
    data = json.dumps(body).encode()
    start_response(
        status, [("Content-Type", "application/json"), ("Content-Length", str(len(data)))]
    )
    return [data]


class Server:
    """The HTTP side of a stand-in."""

    def __init__(self, stand_in):
        self.stand_in = stand_in
        self.stopped = set()

    def app(self, environ, start_response):
        """Serve one inquiry of the tier."""
        path, query = environ["PATH_INFO"], environ.get("QUERY_STRING", "")
        body = environ["wsgi.input"].read()
        if path == "/state":
            kept = ("busy", "state", "hits", "misses", "overloads", "late_starts")
            return answer(
                start_response,
                {
                    **{name: getattr(self.stand_in, name) for name in kept},
                    "ran": len(self.stand_in.ran),
                },
            )
        fields = json.loads(body) if body else {}
        words = dict(parse_qsl(query))
        name = fields.get("inquiry") or words.get("inquiry", "")
        if words.get("incarnation") != str(self.stand_in.incarnation):
            return answer(start_response, {"trouble": "former_start"}, "503 Service Unavailable")
        if path == "/v1/stop":
            self.stopped.add(fields["inquiries_of"])
            return answer(start_response, {"stopped": True})
        seconds = self.stand_in.begin(name, fields.get("prefix", ""), time.monotonic())
        if seconds is None:
            return answer(start_response, {"trouble": "busy"}, "503 Service Unavailable")
        if path == "/v1/generate":
            start_response("200 OK", [("Content-Type", "application/x-ndjson")])
            return self.generate(fields, seconds)
        try:
            gevent.sleep(0.003)
            if path == "/v1/seats":
                word = seat_word(fields["key"], fields["seat"])
                return answer(start_response, {"inquiry": name, "confirmed": word})
            return answer(start_response, {"inquiry": name, "tile": tile_word(path)})
        finally:
            self.stand_in.finish()

    def generate(self, fields, seconds):
        """Yield the numbered pieces of the answer."""
        try:
            gevent.sleep(seconds)
            count = piece_count(fields["prompt"], fields["max_pieces"])
            for number in range(fields["from"] + 1, count + 1):
                gevent.sleep(PIECE_SECONDS)
                if any(fields["inquiry"].startswith(prefix) for prefix in self.stopped):
                    return
                yield (
                    json.dumps(
                        {
                            "inquiry": fields["inquiry"],
                            "n": number,
                            "piece": piece_text(fields["prompt"], number),
                        }
                    ).encode()
                    + b"\n"
                )
            yield (
                json.dumps({"inquiry": fields["inquiry"], "end": True, "pieces": count}).encode()
                + b"\n"
            )
        finally:
            self.stand_in.finish()


@click.command()
@click.option("--name", required=True)
@click.option("--service", required=True)
@click.option("--domain", required=True)
@click.option("--address", required=True)
@click.option("--node", "nodes", multiple=True, required=True, help="HTTP address of a node.")
@click.option("--slots", default=8)
@click.option("--warm-seconds", default=2.0)
def main(name, service, domain, address, nodes, slots, warm_seconds):
    """Run a stand-in replica that beats to whichever node takes it."""
    stand_in = StandIn(name, slots, warm_seconds, time.monotonic())
    stand_in.incarnation = time.time_ns() // 1000
    server = start_wsgi_server(split_address(address), Server(stand_in).app)
    stop_event = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stop_event.set)
    sequence, turn = 0, hash(name)

    def beat():
        nonlocal sequence, turn
        sequence += 1
        stand_in.bearable(time.monotonic())
        body = stand_in.beat(service, domain, address, sequence)
        for _ in range(len(nodes)):
            try:
                backend.fetch(
                    FetchJson(
                        split_address(nodes[turn % len(nodes)]),
                        "POST",
                        "/v1/replicas/beats",
                        body,
                        1,
                        True,
                    )
                )
                return
            except QuillringError:
                turn += 1

    while not stop_event.is_set():
        beat()
        stop_event.wait(BEAT_SECONDS)
    stand_in.leave(time.monotonic())
    beat()
    deadline = time.monotonic() + 30
    while stand_in.busy and time.monotonic() < deadline:
        beat()
        gevent.sleep(BEAT_SECONDS)
    stand_in.state = "gone"
    beat()
    server.stop()


if __name__ == "__main__":
    main()
