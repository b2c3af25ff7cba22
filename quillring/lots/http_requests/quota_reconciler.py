"""Keeping the ledger of reserved tokens in step with the lots, at the owner of its part."""

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import NotOwner, QuillringError
from quillring.lots.http_requests.commands import NO_LOT
from quillring.lots.http_requests.token_reservations import reserved_lots, tokens_left

CROWDED = 0.5
CROWDED_PERIOD, CALM_PERIOD, UNKNOWN_PATIENCE = 0.4, 0.8, 0.5


class QuotaReconciler:
    """Asks the lots' parts what still waits, and releases in the ledger what does not.

    The owner of the ledger asks, so nothing of it has to outlive an owner: a new one asks again.
    What a part's owner tells is committed, and tokens of a lot only ever fall, so a late answer
    frees too little and never too much. That a lot is not there counts only after its ticket was
    fenced in its part. Periods are ratios to the reading bound.
    """

    __slots__ = ("node", "asked_at", "busy", "unknown_since")

    def __init__(self, node):
        self.node = node
        self.asked_at = {}
        self.busy = set()
        self.unknown_since = {}
        node.handle("raw.left", self.on_left)

    def on_left(self, body, origin):
        """Tell the tokens that wait of lots of a part owned here, as far as they are known."""
        owner = self.node.find("ownership").leaders.get(body["part"])
        if owner is None or not owner.is_leader:
            raise NotOwner(part=body["part"])
        return {"left": tokens_left(owner.state, body["lots"])}

    def run(self):
        """Coroutine: look after the ledgers of owned parts."""
        while True:
            yield Sleep(self.node.bounds.read_timeout * CROWDED_PERIOD / 4)
            for owner in list(self.node.find("ownership").leaders.values()):
                if owner.has_lease() and self._is_due(owner):
                    self.asked_at[owner.part] = self.node.now()
                    self._look_after(owner)

    def _is_due(self, owner):
        ledger = owner.state.get("raw_ledger")
        if not ledger or not ledger["lots"]:
            return False
        is_crowded = any(
            waiting["tokens"] > waiting["most"] * CROWDED for waiting in ledger["forwards"].values()
        )
        period = self.node.bounds.read_timeout * (CROWDED_PERIOD if is_crowded else CALM_PERIOD)
        return self.node.now() - self.asked_at.get(owner.part, -period) >= period

    def _look_after(self, owner):
        """Ask every part that has lots with a reservation, unless it is being asked."""
        entries_by_part = {}
        for name, entry in reserved_lots(owner.state).items():
            entries_by_part.setdefault(entry["part"], {})[name] = entry
        tickets = {entry["ticket"] for e in entries_by_part.values() for entry in e.values()}
        self.unknown_since = {
            (part, ticket): since
            for (part, ticket), since in self.unknown_since.items()
            if part != owner.part or ticket in tickets
        }
        for part, entries in entries_by_part.items():
            if (owner.part, part) not in self.busy:
                self.busy.add((owner.part, part))
                self.node.spawn(self._settle(owner, part, entries))

    def _settle(self, owner, part, entries):
        """Coroutine: release what one part's lots no longer wait for."""
        try:
            left = yield from self._ask(owner, part, entries)
            rows = [
                [name, entry["ticket"], left[name]]
                for name, entry in entries.items()
                if name in left and (left[name] < entry["left"] or not left[name])
            ]
            if rows:
                yield from owner.submit({"do": "raw.release", "lot": NO_LOT, "rows": rows})
                self.node.count("raw_reservations_lowered", len(rows))
        except QuillringError as error:
            self.node.log("debug", "reservations of %s in %s: %s", owner.part, part, error)
        finally:
            self.busy.discard((owner.part, part))

    def _ask(self, owner, part, entries):
        """Coroutine: return {lot: tokens left}; a lot that can never be taken any more has none."""
        ownership, seconds = self.node.find("ownership"), self.node.bounds.read_timeout
        answer = yield from ownership.call_leader(
            part, "raw.left", {"lots": list(entries)}, seconds
        )
        left, now = answer["left"], self.node.now()
        late = {}
        for name, entry in entries.items():
            if name in left:
                continue
            since = self.unknown_since.setdefault((owner.part, entry["ticket"]), now)
            if now - since >= seconds * UNKNOWN_PATIENCE:
                late[name] = entry["ticket"]
        if not late:
            return left
        command = {
            "do": "raw.fence",
            "lot": NO_LOT,
            "ledger": owner.part,
            "ticket": max(late.values()),
            "lots": list(late),
        }
        fenced = yield from ownership.submit(part, command, seconds)
        self.node.count("raw_reservations_taken_back", len(late) - len(fenced["left"]))
        return {**left, **dict.fromkeys(late, 0), **fenced["left"]}
