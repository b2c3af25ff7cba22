"""Simulated callers: they check every piece, resume cut streams, follow their lots."""

from proving.callers import Answer, Record
from proving.standin_logic import piece_count, piece_text, seat_word, tile_word
from quillring.edge.short import serve_seat, serve_tile
from quillring.edge.streams import resume_stream, serve_model
from quillring.kernel.effects import Signal
from quillring.kernel.troubles import Refused, Trouble
from quillring.kernel.wsgi import Inquiry
from quillring.lots.front import cancel_lot, show_results, submit_lot

PATIENCE = 6.0


class Connection:
    """One HTTP exchange of a caller with an edge."""

    def __init__(self, sim, node, script):
        self.sim = sim
        self.node = node
        self.lines = []
        self.signal = Signal()
        self.isOpen = True
        self.outcome = None
        sim.env.process(self._run(script))

    def _run(self, script):
        self.outcome = yield from self.sim.run_script(self.node, script, self._take)
        self.signal.set()

    def _take(self, line):
        if self.isOpen:
            self.lines.append(line)
            self.signal.set()
        return self.isOpen

    def next(self, seconds):
        """Process: return the next line, or None when the exchange broke or ended."""
        endTime = self.sim.env.now + seconds
        while not self.lines and self.outcome is None and self.sim.env.now < endTime:
            if self.node.world.is_dead:
                break
            self.signal = Signal()
            woken = self.sim.env.event()
            self.signal.watchers.append(lambda w=woken: w.triggered or w.succeed())
            yield woken | self.sim.env.timeout(0.25)
        return self.lines.pop(0) if self.lines else None


class SimCallers:
    """The traffic of all callers of one run."""

    def __init__(self, sim):
        self.sim = sim
        self.history = sim.history
        self.record = Record()
        self.record.violate = self.history.violate
        self.number = 0
        self.lots = {}
        self.stopAt = None

    def generate(self, rate, call, *words):
        """Process: start calls at a rate until the traffic ends."""
        while self.stopAt is None or self.sim.env.now < self.stopAt:
            yield self.sim.env.timeout(self.sim.chance.expovariate(rate))
            self.sim.env.process(call(*words))

    def edge(self):
        """Return a running edge, as the platform hands connections to live nodes."""
        edges = [
            self.sim.nodes[name] for name in self.sim.names("edge")
            if name in self.sim.nodes and not self.sim.nodes[name].world.is_dead
        ]
        return self.sim.chance.choice(edges) if edges else None

    def ask(self, make, method="GET", words=None, query=None, body=None, sender="s"):
        """Process: one exchange that ends in one answer; return (answer, trouble)."""
        node = self.edge()
        if node is None:
            return None, Trouble(reason="no edge")
        inquiry = Inquiry(method, words or {}, query or {}, body, sender)
        try:
            script = make(node, inquiry)
        except Trouble as trouble:
            return None, trouble
        connection = Connection(self.sim, node, script)
        yield from connection.next(PATIENCE)
        connection.isOpen = False
        answer, trouble = connection.outcome or (None, None)
        return answer, trouble or (None if answer else Trouble(reason="no answer"))

    def _name(self, kind):
        self.number += 1
        return f"{kind}-{self.number}"

    def stream(self, entry, kind, maxPieces=20, isSingle=False, dropAfter=None):
        """Process: one streamed inquiry, resumed when it is cut."""
        chance, sender = self.sim.chance, self._name(kind)
        answer = Answer(f"{entry} {sender}", maxPieces)
        if isSingle:
            self.history.single.add(answer.prompt)
        if dropAfter is None and chance.random() < 0.2 and not isSingle:
            dropAfter = chance.randrange(1, 8)
        startTime, rounds = self.sim.env.now, 0
        while answer.outcome is None and rounds < 12:
            rounds += 1
            node = self.edge()
            if node is None:
                yield self.sim.env.timeout(0.5)
                continue
            connection = self._open(node, answer, sender, entry)
            yield from self._read(connection, answer, dropAfter, startTime)
            dropAfter = None
            self._judge(connection, answer, isSingle)
            if answer.outcome is None:
                self.history.count("resumes")
                yield self.sim.env.timeout(0.3 * rounds)
        self.record.note(kind, answer.outcome or "given_up")

    def _open(self, node, answer, sender, entry):
        if answer.token is None:
            body = {"entry": entry, "prompt": answer.prompt, "max_pieces": answer.maxPieces}
            return Connection(
                self.sim, node, serve_model(node, Inquiry("POST", {}, {}, body, sender)))
        query = {"after": [str(len(answer.pieces))]}
        inquiry = Inquiry("GET", {"token": answer.token}, query, None, sender)
        return Connection(self.sim, node, resume_stream(node, inquiry))

    def _read(self, connection, answer, dropAfter, startTime):
        while True:
            line = yield from connection.next(PATIENCE)
            if line is None:
                break
            hadPieces = len(answer.pieces)
            isOver = answer.take(line, self.record)
            if not hadPieces and answer.pieces:
                self.record.firstPieces.append(self.sim.env.now - startTime)
            if isOver or (dropAfter is not None and len(answer.pieces) >= dropAfter):
                break
        connection.isOpen = False

    def _judge(self, connection, answer, isSingle):
        trouble = connection.outcome[1] if connection.outcome else None
        if answer.outcome not in (None, "complete") and answer.token and not isSingle:
            answer.outcome = None
        if answer.outcome is None and trouble is not None:
            isFinal = answer.token is None or trouble.kind in ("not_found", "bad_token")
            if isinstance(trouble, Refused) and answer.token is None:
                self.history.refused(answer.prompt)
            answer.outcome = trouble.kind if isFinal else None
        if answer.outcome is None and isSingle:
            answer.outcome = "lost_contact"
        if answer.outcome is None and answer.token is None:
            answer.outcome = "no_answer"

    def tile(self, entry):
        """Process: one tile."""
        words = {"entry": entry, "zoom": "12", "column": str(self.number), "row": "7"}
        self.number += 1
        answer, trouble = yield from self.ask(serve_tile, words=words)
        if answer and answer["tile"] != tile_word(f"/v1/tiles/12/{words['column']}/7"):
            self.history.violate("wrong tile")
        self.record.note("tile", trouble.kind if trouble else "complete")

    def seat(self, entry):
        """Process: one seat confirmation, repeated under its key."""
        key = self._name("seat")
        body = {"entry": entry, "key": key, "seat": "4a"}
        for _ in range(4):
            answer, trouble = yield from self.ask(serve_seat, "POST", body=body)
            if answer:
                if answer["confirmed"] != seat_word(key, "4a"):
                    self.history.violate(f"wrong confirmation of {key}")
                break
            yield self.sim.env.timeout(0.3)
        self.record.note("seat", trouble.kind if trouble else "complete")

    def lot(self, entry, size=5, cancelShare=0.2):
        """Process: submit a lot under a key, then read it until it ends, or cancel it."""
        key = self._name("lot")
        items = [f"{key} item {n}" for n in range(size)]
        body = {"entry": entry, "key": key, "items": items}
        for _ in range(8):
            answer, trouble = yield from self.ask(submit_lot, "POST", body=body, sender=key)
            if answer:
                break
            yield self.sim.env.timeout(0.5)
        if not answer:
            self.record.note("lot", trouble.kind)
            return
        self.history.count("accepted_lots")
        self.lots[answer["lot"]] = {"items": items, "sender": key, "seen": {}, "phase": "open"}
        if self.sim.chance.random() < cancelShare:
            yield self.sim.env.timeout(self.sim.chance.uniform(0, 1.5))
            yield from self._cancel(answer["lot"], key, items)
        while self.lots[answer["lot"]]["phase"] == "open":
            yield self.sim.env.timeout(0.7)
            yield from self.read_lot(answer["lot"])
        self.record.note("lot", self.lots[answer["lot"]]["phase"])

    def _cancel(self, lot, sender, items):
        answer, _ = yield from self.ask(cancel_lot, "DELETE", {"lot": lot}, sender=sender)
        if answer and answer["phase"] == "cancelled":
            for item in items:
                self.history.endedAt[item] = self.sim.env.now

    def read_lot(self, lot):
        """Process: read all results of a lot once and check them."""
        known = self.lots[lot]
        answer, trouble = yield from self.ask(
            show_results, words={"lot": lot}, sender=known["sender"])
        if trouble is not None:
            if trouble.kind == "not_found":
                self.history.violate(f"accepted lot {lot} is lost")
                known["phase"] = "lost"
            return
        rows = {row["n"]: row.get("text") for row in answer["results"]}
        for number, text in rows.items():
            prompt = known["items"][number]
            rightText = "".join(
                piece_text(prompt, n) for n in range(1, piece_count(prompt, 64) + 1))
            if text != rightText:
                self.history.violate(f"wrong result {number} of {lot}: {text}")
        if set(known["seen"]) - set(rows):
            self.history.violate(f"results of {lot} went away")
        known["seen"] = rows
        known["phase"] = answer["phase"]
