"""A fake replica as a process: model, map or checkout service over HTTP/1.1 and JSON."""

import json
import signal
import time
from urllib.parse import parse_qsl

import click
import gevent
import gevent.event

from proving.tools.fake_replica_logic import (
    FakeReplica,
    piece_count,
    piece_text,
    seat_confirmation,
    tile_content,
)
from quillring.kernel import backend
from quillring.kernel.effects import FetchJson
from quillring.kernel.errors import QuillringError
from quillring.kernel.settings import split_address
from quillring.kernel.wsgi_server import start_wsgi_server

PIECE_SECONDS = 0.004
HEARTBEAT_SECONDS = 0.4


def answer(start_response, body, status="200 OK"):
    """Start a JSON response and return its body."""
    data = json.dumps(body).encode()
    start_response(
        status, [("Content-Type", "application/json"), ("Content-Length", str(len(data)))]
    )
    return [data]


class Server:
    """The HTTP interface of a fake replica."""

    def __init__(self, fake_replica):
        self.fake_replica = fake_replica
        self.stopped_prefixes = set()

    def app(self, environ, start_response):
        """Serve one request of a node (WSGI)."""
        path, query = environ["PATH_INFO"], environ.get("QUERY_STRING", "")
        body = environ["wsgi.input"].read()
        if path == "/state":
            reported_names = ("busy", "state", "hits", "misses", "overloads", "late_starts")
            return answer(
                start_response,
                {
                    **{name: getattr(self.fake_replica, name) for name in reported_names},
                    "ran": len(self.fake_replica.ran),
                },
            )
        fields = json.loads(body) if body else {}
        query_fields = dict(parse_qsl(query))
        name = fields.get("inquiry") or query_fields.get("inquiry", "")
        if query_fields.get("incarnation") != str(self.fake_replica.incarnation):
            return answer(start_response, {"trouble": "former_start"}, "503 Service Unavailable")
        if path == "/v1/stop":
            self.stopped_prefixes.add(fields["inquiries_of"])
            return answer(start_response, {"stopped": True})
        seconds = self.fake_replica.begin(name, fields.get("prefix", ""), time.monotonic())
        if seconds is None:
            return answer(start_response, {"trouble": "busy"}, "503 Service Unavailable")
        if path == "/v1/generate":
            start_response("200 OK", [("Content-Type", "application/x-ndjson")])
            return self.generate(fields, seconds)
        try:
            gevent.sleep(0.003)
            if path == "/v1/seats":
                confirmation = seat_confirmation(fields["key"], fields["seat"])
                return answer(start_response, {"inquiry": name, "confirmed": confirmation})
            return answer(start_response, {"inquiry": name, "tile": tile_content(path)})
        finally:
            self.fake_replica.finish()

    def generate(self, fields, seconds):
        """Yield the pieces of the answer after number `from`, then the end line."""
        try:
            gevent.sleep(seconds)
            count = piece_count(fields["prompt"], fields["max_pieces"])
            for number in range(fields["from"] + 1, count + 1):
                gevent.sleep(PIECE_SECONDS)
                if any(fields["inquiry"].startswith(prefix) for prefix in self.stopped_prefixes):
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
            self.fake_replica.finish()


@click.command()
@click.option("--name", required=True)
@click.option("--service", required=True)
@click.option("--domain", required=True)
@click.option("--address", required=True)
@click.option("--node", "nodes", multiple=True, required=True, help="HTTP address of a node.")
@click.option("--slots", default=8)
@click.option("--warm-seconds", default=2.0)
def main(name, service, domain, address, nodes, slots, warm_seconds):
    """Run a fake replica that sends its heartbeats to one node, and to the next if that fails."""
    fake_replica = FakeReplica(name, slots, warm_seconds, time.monotonic())
    fake_replica.incarnation = time.time_ns() // 1000
    server = start_wsgi_server(split_address(address), Server(fake_replica).app)
    stop_event = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stop_event.set)
    sequence, node_index = 0, hash(name)

    def send_heartbeat():
        nonlocal sequence, node_index
        sequence += 1
        fake_replica.update_concurrency_limit(time.monotonic())
        body = fake_replica.heartbeat_body(service, domain, address, sequence)
        for _ in range(len(nodes)):
            try:
                backend.fetch(
                    FetchJson(
                        split_address(nodes[node_index % len(nodes)]),
                        "POST",
                        "/v1/replicas/beats",
                        body,
                        1,
                        True,
                    )
                )
                return
            except QuillringError:
                node_index += 1

    while not stop_event.is_set():
        send_heartbeat()
        stop_event.wait(HEARTBEAT_SECONDS)
    fake_replica.leave(time.monotonic())
    send_heartbeat()
    deadline = time.monotonic() + 30
    while fake_replica.busy and time.monotonic() < deadline:
        send_heartbeat()
        gevent.sleep(HEARTBEAT_SECONDS)
    fake_replica.state = "gone"
    send_heartbeat()
    server.stop()


if __name__ == "__main__":
    main()
