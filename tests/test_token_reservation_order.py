"""The ledger of reserved tokens against messages in every order: late, twice, or never."""

from hypothesis import settings, strategies
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, multiple, rule

from quillring.lots.http_requests.lot_table import FENCED, lot_records
from quillring.lots.http_requests.token_reservations import (
    reserved_lots,
    reserved_tokens,
    tokens_left,
)
from quillring.quorum.commands import apply_batch, first_state
from tests.test_http_lot_state_machine import result
from tests.test_token_reservations import (
    HOME,
    QUOTA_TOKENS,
    accept_with_ticket,
    fence,
    release,
    reserve,
)

LOTS = {"a": "part-0", "b": "part-1", "c": "part-1", "d": "part-2"}


class Ledger(RuleBasedStateMachine):
    """Parts and a ledger; whatever was sent may arrive late, twice, out of order or never."""

    tickets = Bundle("tickets")
    rows = Bundle("rows")
    names = strategies.sampled_from(sorted(LOTS))
    parts = strategies.sampled_from(sorted(set(LOTS.values())))
    numbers = strategies.integers(0, 2)

    def __init__(self):
        super().__init__()
        self.states = {part: first_state([]) for part in LOTS.values()}

    def do(self, part, command):
        self.states[part], [answer] = apply_batch(self.states[part], [command])
        assert isinstance(answer, dict), answer
        return answer

    def entries(self, part):
        lots = reserved_lots(self.states[HOME])
        return {name: entry["ticket"] for name, entry in lots.items() if entry["part"] == part}

    @rule(target=tickets, name=names, attempt=strategies.integers(0, 20))
    def reserve(self, name, attempt):
        command = reserve(name, attempt=f"{name}{attempt}", part=LOTS[name])
        ticket = self.do(HOME, command).get("ticket")
        return multiple() if ticket is None else (name, ticket)

    @rule(reserved=tickets)
    def accept(self, reserved):
        name, ticket = reserved
        self.do(LOTS[name], accept_with_ticket(ticket, name, attempt=f"{name}{ticket}"))

    @rule(target=tickets, reserved=tickets)
    def accept_and_reserve_anew(self, reserved):
        name, ticket = reserved
        command = accept_with_ticket(ticket, name, attempt=f"{name}{ticket}")
        if self.do(LOTS[name], command).get("refused") != FENCED:
            return multiple()
        again = reserve(name, attempt=f"{name}{ticket}", part=LOTS[name], fenced=ticket)
        new_ticket = self.do(HOME, again).get("ticket")
        return multiple() if new_ticket is None else (name, new_ticket)

    @rule(name=names, number=numbers)
    def list_result(self, name, number):
        self.do(LOTS[name], result(name, number))

    @rule(name=names)
    def end(self, name):
        if name in lot_records(self.states[LOTS[name]]):
            self.do(LOTS[name], {"do": "raw.end", "lot": name})

    @rule(name=names)
    def drop(self, name):
        self.do(LOTS[name], {"do": "raw.drop", "lot": name})

    def look_at(self, part):
        entries = self.entries(part)
        left = tokens_left(self.states[part], entries)
        return [(name, entries[name], tokens) for name, tokens in left.items()]

    def fence_at(self, part):
        entries = self.entries(part)
        if not entries:
            return []
        left = self.do(part, fence(max(entries.values()), *entries))["left"]
        return [(name, ticket, left.get(name, 0)) for name, ticket in entries.items()]

    @rule(target=rows, part=parts, is_fenced=strategies.booleans())
    def look(self, part, is_fenced):
        found = self.fence_at(part) if is_fenced else self.look_at(part)
        return found or multiple()

    @rule(found=rows)
    def release(self, found):
        self.do(HOME, release(*found))

    @rule(part=parts)
    def settle(self, part):
        self.do(HOME, release(*self.fence_at(part)))

    @invariant()
    def the_quota_holds(self):
        waiting = sum(
            lot["tokens"] for state in self.states.values() for lot in lot_records(state).values()
        )
        reserved = reserved_tokens(self.states[HOME], "f")
        assert waiting <= reserved <= QUOTA_TOKENS
        lots = reserved_lots(self.states[HOME]).values()
        assert reserved == sum(entry["left"] for entry in lots)

    def teardown(self):
        for name in LOTS:
            for number in range(3):
                self.list_result(name, number)
        for part in self.states:
            self.settle(part)
        assert reserved_lots(self.states[HOME]) == {}


TestLedger = Ledger.TestCase
TestLedger.settings = settings(
    max_examples=300, stateful_step_count=30, derandomize=True, deadline=None, database=None
)
