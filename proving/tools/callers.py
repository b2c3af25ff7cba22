"""Callers' stand-ins: they record every piece received and check it."""

import json

import gevent
from geventhttpclient import HTTPClient, HTTPParseError

from proving.tools.fake_replica_logic import piece_count, piece_text, seat_word, tile_word
from quillring.kernel.settings import split_address

PATIENCE = 20
TRIED_AGAIN = ("refused", "broken", "timed_out", "no_majority", "not_founded", "fenced")


class Record:
    """What callers saw: counts by outcome, and every violation in words."""

    def __init__(self):
        self.outcomes = {}
        self.violations = []
        self.first_pieces = []
        self.resumes = 0
        self.leaving = set()

    def edge(self, edges, chance):
        """Return an edge the platform hands new connections to: none that is being stopped."""
        return chance.choice([e for e in edges if e not in self.leaving] or edges)

    def note(self, kind, outcome):
        """Count an outcome of a kind of call."""
        self.outcomes[(kind, outcome)] = self.outcomes.get((kind, outcome), 0) + 1

    def violate(self, text):
        """Keep a violation."""
        self.violations.append(text)

    def to_json(self):
        """Return the whole as JSON."""
        firsts = sorted(self.first_pieces)
        return {
            "outcomes": {f"{k}/{o}": n for (k, o), n in sorted(self.outcomes.items())},
            "violations": self.violations,
            "resumes": self.resumes,
            "first_piece_median_ms": round(firsts[len(firsts) // 2] * 1000, 1) if firsts else None,
        }


def send(address, method, path, body=None, client_name="caller", seconds=PATIENCE):
    """Send one inquiry; return the client and the response."""
    host, port = split_address(address)
    client = HTTPClient(host, port, connection_timeout=2, network_timeout=seconds)
    data = b"" if body is None else json.dumps(body).encode()
    return client, client.request(method, path, body=data, headers={"X-Sender": client_name})


def ask(address, method, path, body=None, client_name="caller", seconds=PATIENCE):
    """Send one inquiry; return (status, JSON answer), status 0 when no answer came."""
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
    """The pieces of one answer as its caller collected them."""

    def __init__(self, prompt, max_pieces):
        self.prompt = prompt
        self.max_pieces = max_pieces
        self.pieces = []
        self.token = None
        self.outcome = None

    def take(self, line, record):
        """Check one line; return True when the answer is over."""
        if "resume" in line:
            self.token = line["resume"]
        elif "n" in line:
            if line["n"] != len(self.pieces) + 1:
                record.violate(f"piece {line['n']} after {len(self.pieces)} of {self.prompt}")
            if line["piece"] != piece_text(self.prompt, line["n"]):
                record.violate(f"wrong piece {line['n']} of {self.prompt}")
            self.pieces.append(line["piece"])
        elif line.get("end") is True:
            right_count = piece_count(self.prompt, self.max_pieces)
            if len(self.pieces) != right_count or line["pieces"] != right_count:
                record.violate(f"{len(self.pieces)} pieces look complete: {self.prompt}")
            self.outcome = "complete"
        else:
            self.outcome = line.get("trouble", "strange")
        return self.outcome is not None


def read_answer(answer, response, record, clock, start_time, drop_after=None):
    """Read lines until the end, a break, or the piece after which the caller lets go."""
    while True:
        data = response.readline(b"\n")
        if not data:
            return
        had_pieces = len(answer.pieces)
        if answer.take(json.loads(data), record):
            return
        if not had_pieces and answer.pieces:
            record.first_pieces.append(clock() - start_time)
        if drop_after is not None and len(answer.pieces) >= drop_after:
            return


def stream_call(edges, chance, record, clock, route, kind, max_pieces=20, drop_share=0.2):
    """One streamed inquiry; a cut stream is resumed at any edge with the resume token."""
    client_name = f"sender-{chance.random():.9f}"
    answer = Answer(f"{route} {client_name}", max_pieces)
    drop_after = chance.randrange(1, 6) if chance.random() < drop_share else None
    body = {"entry": route, "prompt": answer.prompt, "max_pieces": max_pieces}
    method, path, start_time, attempts = "POST", "/v1/inquiries", clock(), 0
    while answer.outcome is None and attempts < 8:
        attempts += 1
        client = None
        try:
            client, response = send(record.edge(edges, chance), method, path, body, client_name)
            if response.status_code == 200:
                read_answer(answer, response, record, clock, start_time, drop_after)
                drop_after = None
            else:
                answer.outcome = refusal(response)
        except (OSError, HTTPParseError, ValueError):
            if answer.token is None and attempts > 3:
                answer.outcome = "no_answer"
        finally:
            if client is not None:
                client.close()
        if answer.outcome in TRIED_AGAIN and answer.token:
            answer.outcome = None
        if answer.outcome is None:
            if answer.token:
                record.resumes += 1
                method, body = "GET", None
                path = f"/v1/streams/{answer.token}?after={len(answer.pieces)}"
            gevent.sleep(0.2 * attempts)
    record.note(kind, answer.outcome or "given_up")


def refusal(response):
    """Return the kind of a refusal."""
    try:
        return json.loads(response.read())["trouble"]
    except (ValueError, KeyError, TypeError):
        return "strange"


def tile_call(edges, chance, record, route):
    """Fetch one tile and check it."""
    place = f"{chance.randrange(12, 16)}/{chance.randrange(64)}/7"
    path = f"/v1/tiles/{route}/{place}"
    status, answer = ask(record.edge(edges, chance), "GET", path)
    if status == 200 and answer["tile"] != tile_word(f"/v1/tiles/{place}"):
        record.violate(f"wrong tile {path}")
    record.note("tile", "complete" if status == 200 else answer.get("trouble"))


def seat_call(edges, chance, record, route):
    """Confirm one seat, repeating the call under its key when no answer came."""
    key, seat = f"{chance.random():.12f}", f"row-{chance.randrange(900)}"
    body = {"entry": route, "key": key, "seat": seat}
    for _ in range(4):
        status, answer = ask(record.edge(edges, chance), "POST", "/v1/seats", body)
        if status == 200:
            if answer["confirmed"] != seat_word(key, seat) or answer["key"] != key:
                record.violate(f"wrong confirmation of {key}")
            break
        gevent.sleep(0.2)
    record.note("seat", "complete" if status == 200 else answer.get("trouble"))


def lot_call(edges, chance, record, route, size=6):
    """Submit a lot, follow it to the end, check each result's position and value."""
    key, client_name = f"{chance.getrandbits(64):016x}", f"desk-{chance.randrange(50)}"
    items = [f"{key} item {n}" for n in range(size)]
    body, lot = {"entry": route, "key": key, "items": items}, None
    for _ in range(8):
        status, answer = ask(record.edge(edges, chance), "POST", "/v1/lots", body, client_name)
        if status == 200:
            lot = answer["lot"]
            break
        gevent.sleep(0.5)
    if lot is None:
        record.note("lot", answer.get("trouble"))
        return
    follow_lot(edges, chance, record, lot, items, client_name)


def follow_lot(edges, chance, record, lot, items, client_name):
    """Read an accepted lot until all its results are there."""
    seen = {}
    for _ in range(200):
        edge = record.edge(edges, chance)
        status, answer = ask(edge, "GET", f"/v1/lots/{lot}/results", None, client_name)
        if status == 404:
            record.violate(f"accepted lot {lot} is lost")
            break
        for row in answer.get("results", ()) if status == 200 else ():
            if seen.setdefault(row["n"], row["text"]) != row["text"]:
                record.violate(f"result {row['n']} of {lot} changed")
            prompt = items[row["n"]]
            right_text = "".join(
                piece_text(prompt, n) for n in range(1, piece_count(prompt, 64) + 1)
            )
            if row["text"] != right_text:
                record.violate(f"wrong result {row['n']} of {lot}")
        if len(seen) == len(items):
            record.note("lot", "complete")
            return
        gevent.sleep(0.4)
    record.note("lot", "unfinished")
