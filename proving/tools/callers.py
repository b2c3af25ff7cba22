"""Simulated callers, which check every piece, tile, confirmation and result they receive."""

import json

import gevent
from geventhttpclient import HTTPClient, HTTPParseError

from proving.tools.fake_replica_logic import (
    piece_count,
    piece_text,
    seat_confirmation,
    tile_content,
)
from quillring.kernel.settings import split_address

DEFAULT_TIMEOUT_SECONDS = 20
RETRYABLE_OUTCOMES = ("refused", "broken", "timed_out", "no_majority", "not_founded", "fenced")


class Record:
    """What callers saw: call counts by outcome, and a description of each violation."""

    def __init__(self):
        self.outcomes = {}
        self.violations = []
        self.first_piece_seconds = []
        self.resumes = 0
        self.stopping_edges = set()

    def choose_edge(self, edges, rng):
        """Return a random edge; like the platform, avoid edges that are being stopped."""
        return rng.choice([e for e in edges if e not in self.stopping_edges] or edges)

    def note(self, kind, outcome):
        """Count an outcome of a kind of call."""
        self.outcomes[(kind, outcome)] = self.outcomes.get((kind, outcome), 0) + 1

    def violate(self, text):
        """Record a violation."""
        self.violations.append(text)

    def to_json(self):
        """Return the record as a dict that can be encoded as JSON."""
        sorted_seconds = sorted(self.first_piece_seconds)
        return {
            "outcomes": {f"{k}/{o}": n for (k, o), n in sorted(self.outcomes.items())},
            "violations": self.violations,
            "resumes": self.resumes,
            "first_piece_median_ms": round(sorted_seconds[len(sorted_seconds) // 2] * 1000, 1)
            if sorted_seconds
            else None,
        }


def send(address, method, path, body=None, client_name="caller", seconds=DEFAULT_TIMEOUT_SECONDS):
    """Send one HTTP request; return the client, which the caller must close, and the response."""
    host, port = split_address(address)
    client = HTTPClient(host, port, connection_timeout=2, network_timeout=seconds)
    data = b"" if body is None else json.dumps(body).encode()
    return client, client.request(method, path, body=data, headers={"X-Sender": client_name})


def ask(address, method, path, body=None, client_name="caller", seconds=DEFAULT_TIMEOUT_SECONDS):
    """Send one HTTP request; return (status, JSON body), with status 0 if no response arrived."""
    client = None
    try:
        client, response = send(address, method, path, body, client_name, seconds)
        return response.status_code, json.loads(response.read() or b"null")
    except (OSError, HTTPParseError, ValueError) as error:
        return 0, {"trouble": type(error).__name__}
    finally:
        if client is not None:
            client.close()


class Answer:
    """The pieces of one streamed answer, as received by its caller."""

    def __init__(self, prompt, max_pieces):
        self.prompt = prompt
        self.max_pieces = max_pieces
        self.pieces = []
        self.token = None
        self.outcome = None

    def add_line(self, line, record):
        """Process and check one line of the stream; return whether the answer has an outcome."""
        if "resume" in line:
            self.token = line["resume"]
        elif "n" in line:
            if line["n"] != len(self.pieces) + 1:
                record.violate(f"piece {line['n']} after {len(self.pieces)} of {self.prompt}")
            if line["piece"] != piece_text(self.prompt, line["n"]):
                record.violate(f"wrong piece {line['n']} of {self.prompt}")
            self.pieces.append(line["piece"])
        elif line.get("end") is True:
            expected_count = piece_count(self.prompt, self.max_pieces)
            if len(self.pieces) != expected_count or line["pieces"] != expected_count:
                record.violate(f"{len(self.pieces)} pieces look complete: {self.prompt}")
            self.outcome = "complete"
        else:
            self.outcome = line.get("trouble", "strange")
        return self.outcome is not None


def read_answer(answer, response, record, clock, start_time, drop_after=None):
    """Read lines until the answer ends, the stream breaks, or `drop_after` pieces have arrived."""
    while True:
        data = response.readline(b"\n")
        if not data:
            return
        earlier_piece_count = len(answer.pieces)
        if answer.add_line(json.loads(data), record):
            return
        if not earlier_piece_count and answer.pieces:
            record.first_piece_seconds.append(clock() - start_time)
        if drop_after is not None and len(answer.pieces) >= drop_after:
            return


def stream_call(edges, rng, record, clock, route, kind, max_pieces=20, drop_share=0.2):
    """Send one streamed inquiry; resume an interrupted stream at any edge with its resume token."""
    client_name = f"sender-{rng.random():.9f}"
    answer = Answer(f"{route} {client_name}", max_pieces)
    drop_after = rng.randrange(1, 6) if rng.random() < drop_share else None
    body = {"entry": route, "prompt": answer.prompt, "max_pieces": max_pieces}
    method, path, start_time, attempts = "POST", "/v1/inquiries", clock(), 0
    while answer.outcome is None and attempts < 8:
        attempts += 1
        client = None
        try:
            client, response = send(record.choose_edge(edges, rng), method, path, body, client_name)
            if response.status_code == 200:
                read_answer(answer, response, record, clock, start_time, drop_after)
                drop_after = None
            else:
                answer.outcome = error_kind(response)
        except (OSError, HTTPParseError, ValueError):
            if answer.token is None and attempts > 3:
                answer.outcome = "no_answer"
        finally:
            if client is not None:
                client.close()
        if answer.outcome in RETRYABLE_OUTCOMES and answer.token:
            answer.outcome = None
        if answer.outcome is None:
            if answer.token:
                record.resumes += 1
                method, body = "GET", None
                path = f"/v1/streams/{answer.token}?after={len(answer.pieces)}"
            gevent.sleep(0.2 * attempts)
    record.note(kind, answer.outcome or "given_up")


def error_kind(response):
    """Return the error kind in an error response; `strange` if there is none."""
    try:
        return json.loads(response.read())["trouble"]
    except (ValueError, KeyError, TypeError):
        return "strange"


def tile_call(edges, rng, record, route):
    """Fetch one tile and check its content."""
    coordinates = f"{rng.randrange(12, 16)}/{rng.randrange(64)}/7"
    path = f"/v1/tiles/{route}/{coordinates}"
    status, answer = ask(record.choose_edge(edges, rng), "GET", path)
    if status == 200 and answer["tile"] != tile_content(f"/v1/tiles/{coordinates}"):
        record.violate(f"wrong tile {path}")
    record.note("tile", "complete" if status == 200 else answer.get("trouble"))


def seat_call(edges, rng, record, route):
    """Confirm one seat; retry a failed call with the same key."""
    key, seat = f"{rng.random():.12f}", f"row-{rng.randrange(900)}"
    body = {"entry": route, "key": key, "seat": seat}
    for _ in range(4):
        status, answer = ask(record.choose_edge(edges, rng), "POST", "/v1/seats", body)
        if status == 200:
            if answer["confirmed"] != seat_confirmation(key, seat) or answer["key"] != key:
                record.violate(f"wrong confirmation of {key}")
            break
        gevent.sleep(0.2)
    record.note("seat", "complete" if status == 200 else answer.get("trouble"))


def lot_call(edges, rng, record, route, size=6):
    """Submit a lot, wait for its end and check the position and value of each result."""
    key, client_name = f"{rng.getrandbits(64):016x}", f"desk-{rng.randrange(50)}"
    items = [f"{key} item {n}" for n in range(size)]
    body, lot = {"entry": route, "key": key, "items": items}, None
    for _ in range(8):
        status, answer = ask(record.choose_edge(edges, rng), "POST", "/v1/lots", body, client_name)
        if status == 200:
            lot = answer["lot"]
            break
        gevent.sleep(0.5)
    if lot is None:
        record.note("lot", answer.get("trouble"))
        return
    follow_lot(edges, rng, record, lot, items, client_name)


def follow_lot(edges, rng, record, lot, items, client_name):
    """Read the results of an accepted lot until all are available, and check them."""
    seen = {}
    for _ in range(200):
        edge = record.choose_edge(edges, rng)
        status, answer = ask(edge, "GET", f"/v1/lots/{lot}/results", None, client_name)
        if status == 404:
            record.violate(f"accepted lot {lot} is lost")
            break
        for row in answer.get("results", ()) if status == 200 else ():
            if seen.setdefault(row["n"], row["text"]) != row["text"]:
                record.violate(f"result {row['n']} of {lot} changed")
            prompt = items[row["n"]]
            expected_text = "".join(
                piece_text(prompt, n) for n in range(1, piece_count(prompt, 64) + 1)
            )
            if row["text"] != expected_text:
                record.violate(f"wrong result {row['n']} of {lot}")
        if len(seen) == len(items):
            record.note("lot", "complete")
            return
        gevent.sleep(0.4)
    record.note("lot", "unfinished")
