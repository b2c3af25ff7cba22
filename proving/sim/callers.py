"""Simulated callers that check every piece, resume broken streams and read their lots' results."""

from proving.tools.callers import Answer, Record
from proving.tools.fake_replica_logic import (
    piece_count,
    piece_text,
    seat_confirmation,
    tile_content,
)
from quillring.edge.short_requests import serve_idempotent_read, serve_keyed_write
from quillring.edge.stream_handlers import resume_stream, serve_model
from quillring.kernel.effects import Signal
from quillring.kernel.errors import QuillringError, Refused
from quillring.kernel.routes import Request
from quillring.lots.prompts.api import cancel_lot, show_results, submit_lot

CALL_TIMEOUT_SECONDS = 6.0


class Connection:
    """One HTTP exchange of a caller with an edge."""

    def __init__(self, sim, node, coroutine):
        self.sim = sim
        self.node = node
        self.lines = []
        self.signal = Signal()
        self.is_open = True
        self.outcome = None
        sim.env.process(self._run(coroutine))

    def _run(self, coroutine):
        """Process: run the edge's coroutine, set `outcome` and wake the reader."""
        self.outcome = yield from self.sim.run_coroutine(self.node, coroutine, self._take)
        self.signal.set()

    def _take(self, line):
        """Add a line for the reader; return whether the caller still reads."""
        if self.is_open:
            self.lines.append(line)
            self.signal.set()
        return self.is_open

    def next(self, seconds):
        """Process: return the next line, or None after `seconds` or when the exchange ended."""
        end_time = self.sim.env.now + seconds
        while not self.lines and self.outcome is None and self.sim.env.now < end_time:
            if self.node.runtime.is_dead:
                break
            self.signal = Signal()
            woken_event = self.sim.env.event()
            self.signal.watchers.append(lambda w=woken_event: w.triggered or w.succeed())
            yield woken_event | self.sim.env.timeout(0.25)
        return self.lines.pop(0) if self.lines else None


class SimCallers:
    """The traffic of all callers in one run."""

    def __init__(self, sim):
        self.sim = sim
        self.history = sim.history
        self.record = Record()
        self.record.violate = self.history.violate
        self.number = 0
        self.lots = {}
        self.stop_at = None

    def generate(self, rate, call, *words):
        """Process: start calls at random times, `rate` per second on average, until `stop_at`."""
        while self.stop_at is None or self.sim.env.now < self.stop_at:
            yield self.sim.env.timeout(self.sim.chance.expovariate(rate))
            self.sim.env.process(call(*words))

    def edge(self):
        """Return a random running edge, as the platform routes connections to live nodes."""
        edges = [
            self.sim.nodes[name]
            for name in self.sim.names("edge")
            if name in self.sim.nodes and not self.sim.nodes[name].runtime.is_dead
        ]
        return self.sim.chance.choice(edges) if edges else None

    def ask(self, handler, method="GET", words=None, query=None, body=None, client_name="s"):
        """Process: make one exchange that ends in one answer; return (answer, error)."""
        node = self.edge()
        if node is None:
            return None, QuillringError(reason="no edge")
        request = Request(method, words or {}, query or {}, body, client_name)
        try:
            coroutine = handler(node, request)
        except QuillringError as error:
            return None, error
        connection = Connection(self.sim, node, coroutine)
        yield from connection.next(CALL_TIMEOUT_SECONDS)
        connection.is_open = False
        answer, error = connection.outcome or (None, None)
        return answer, error or (None if answer else QuillringError(reason="no answer"))

    def _new_name(self, kind):
        self.number += 1
        return f"{kind}-{self.number}"

    def stream(self, route, kind, max_pieces=20, is_single=False, drop_after=None):
        """Process: send one streamed inquiry and resume it, up to 12 attempts, when it breaks.

        `is_single` marks work that must run at most once; `drop_after` is the number of pieces
        after which the caller drops the connection of the first attempt.
        """
        rng, client_name = self.sim.chance, self._new_name(kind)
        answer = Answer(f"{route} {client_name}", max_pieces)
        if is_single:
            self.history.at_most_once.add(answer.prompt)
        if drop_after is None and rng.random() < 0.2 and not is_single:
            drop_after = rng.randrange(1, 8)
        start_time, attempts = self.sim.env.now, 0
        while answer.outcome is None and attempts < 12:
            attempts += 1
            node = self.edge()
            if node is None:
                yield self.sim.env.timeout(0.5)
                continue
            connection = self._open(node, answer, client_name, route)
            yield from self._read(connection, answer, drop_after, start_time)
            drop_after = None
            self._classify_outcome(connection, answer, is_single)
            if answer.outcome is None:
                self.history.count("resumes")
                yield self.sim.env.timeout(0.3 * attempts)
        self.record.note(kind, answer.outcome or "given_up")

    def _open(self, node, answer, client_name, route):
        """Open the stream at a node, or resume it once the answer has a token."""
        if answer.token is None:
            body = {"entry": route, "prompt": answer.prompt, "max_pieces": answer.max_pieces}
            return Connection(
                self.sim, node, serve_model(node, Request("POST", {}, {}, body, client_name))
            )
        query = {"after": [str(len(answer.pieces))]}
        request = Request("GET", {"token": answer.token}, query, None, client_name)
        return Connection(self.sim, node, resume_stream(node, request))

    def _read(self, connection, answer, drop_after, start_time):
        """Process: read until the stream ends or `drop_after` pieces arrived; then close it."""
        while True:
            line = yield from connection.next(CALL_TIMEOUT_SECONDS)
            if line is None:
                break
            piece_count_before = len(answer.pieces)
            is_over = answer.add_line(line, self.record)
            if not piece_count_before and answer.pieces:
                self.record.first_piece_seconds.append(self.sim.env.now - start_time)
            if is_over or (drop_after is not None and len(answer.pieces) >= drop_after):
                break
        connection.is_open = False

    def _classify_outcome(self, connection, answer, is_single):
        """Set the answer's outcome after an attempt; it remains None if the caller can resume."""
        error = connection.outcome[1] if connection.outcome else None
        if answer.outcome not in (None, "complete") and answer.token and not is_single:
            answer.outcome = None
        if answer.outcome is None and error is not None:
            is_final = answer.token is None or error.kind in ("not_found", "bad_token")
            if isinstance(error, Refused) and answer.token is None:
                self.history.note_refusal(answer.prompt)
            answer.outcome = error.kind if is_final else None
        if answer.outcome is None and is_single:
            answer.outcome = "lost_contact"
        if answer.outcome is None and answer.token is None:
            answer.outcome = "no_answer"

    def tile(self, route):
        """Process: request one tile and check it."""
        words = {"entry": route, "zoom": "12", "column": str(self.number), "row": "7"}
        self.number += 1
        answer, error = yield from self.ask(serve_idempotent_read, words=words)
        if answer and answer["tile"] != tile_content(f"/v1/tiles/12/{words['column']}/7"):
            self.history.violate("wrong tile")
        self.record.note("tile", error.kind if error else "complete")

    def seat(self, route):
        """Process: confirm one seat; repeat the call with the same key if it fails."""
        key = self._new_name("seat")
        body = {"entry": route, "key": key, "seat": "4a"}
        for _ in range(4):
            answer, error = yield from self.ask(serve_keyed_write, "POST", body=body)
            if answer:
                if answer["confirmed"] != seat_confirmation(key, "4a"):
                    self.history.violate(f"wrong confirmation of {key}")
                break
            yield self.sim.env.timeout(0.3)
        self.record.note("seat", error.kind if error else "complete")

    def lot(self, route, size=5, cancel_share=0.2):
        """Process: submit a lot with a key, cancel it at random, and read it until it ends."""
        key = self._new_name("lot")
        items = [f"{key} item {n}" for n in range(size)]
        body = {"entry": route, "key": key, "items": items}
        for _ in range(8):
            answer, error = yield from self.ask(submit_lot, "POST", body=body, client_name=key)
            if answer:
                break
            yield self.sim.env.timeout(0.5)
        if not answer:
            self.record.note("lot", error.kind)
            return
        self.history.count("accepted_lots")
        self.lots[answer["lot"]] = {"items": items, "sender": key, "seen": {}, "phase": "open"}
        if self.sim.chance.random() < cancel_share:
            yield self.sim.env.timeout(self.sim.chance.uniform(0, 1.5))
            yield from self._cancel(answer["lot"], key, items)
        while self.lots[answer["lot"]]["phase"] == "open":
            yield self.sim.env.timeout(0.7)
            yield from self.read_lot(answer["lot"])
        self.record.note("lot", self.lots[answer["lot"]]["phase"])

    def _cancel(self, lot, client_name, items):
        answer, _ = yield from self.ask(cancel_lot, "DELETE", {"lot": lot}, client_name=client_name)
        if answer and answer["phase"] == "cancelled":
            for item in items:
                self.history.ended_at[item] = self.sim.env.now

    def read_lot(self, lot):
        """Process: read the results of a lot once and check them."""
        lot_record = self.lots[lot]
        answer, error = yield from self.ask(
            show_results, words={"lot": lot}, client_name=lot_record["sender"]
        )
        if error is not None:
            if error.kind == "not_found":
                self.history.violate(f"accepted lot {lot} is lost")
                lot_record["phase"] = "lost"
            return
        rows = {row["n"]: row.get("text") for row in answer["results"]}
        for number, text in rows.items():
            prompt = lot_record["items"][number]
            expected_text = "".join(
                piece_text(prompt, n) for n in range(1, piece_count(prompt, 64) + 1)
            )
            if text != expected_text:
                self.history.violate(f"wrong result {number} of {lot}: {text}")
        if set(lot_record["seen"]) - set(rows):
            self.history.violate(f"results of {lot} disappeared")
        lot_record["seen"] = rows
        lot_record["phase"] = answer["phase"]
