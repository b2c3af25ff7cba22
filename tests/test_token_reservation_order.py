"""Token reservations when messages arrive late, twice, out of order or never.

Guards against a forward's pending tokens exceeding its reservations or its quota, which happens if
a reservation is released while its lot can still be accepted, and against reservations that are
never released.
"""

from hypothesis import settings, strategies
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, multiple, rule

from quillring.lots.http_requests.lot_table import FENCED, lot_records
from quillring.lots.http_requests.token_reservations import (
    reserved_lots,
    reserved_tokens,
    tokens_left,
)
from quillring.quorum.commands import apply_batch, initial_state
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


class TokenReservationMachine(RuleBasedStateMachine):
    """The parts' states; each ticket or row may be delivered late, repeatedly or never.

    A ticket is (lot, ticket); a row is (lot, ticket, pending tokens).
    """

    tickets = Bundle("tickets")
    rows = Bundle("rows")
    names = strategies.sampled_from(sorted(LOTS))
    parts = strategies.sampled_from(sorted(set(LOTS.values())))
    numbers = strategies.integers(0, 2)

    def __init__(self):
        super().__init__()
        self.states = {part: initial_state([]) for part in LOTS.values()}

    def submit(self, part, command):
        self.states[part], [answer] = apply_batch(self.states[part], [command])
        assert isinstance(answer, dict), answer
        return answer

    def reserved_tickets(self, part):
        lots = reserved_lots(self.states[HOME])
        return {name: entry["ticket"] for name, entry in lots.items() if entry["part"] == part}

    @rule(target=tickets, name=names, attempt=strategies.integers(0, 20))
    def reserve(self, name, attempt):
        command = reserve(name, attempt=f"{name}{attempt}", part=LOTS[name])
        ticket = self.submit(HOME, command).get("ticket")
        return multiple() if ticket is None else (name, ticket)

    @rule(reserved=tickets)
    def accept(self, reserved):
        name, ticket = reserved
        self.submit(LOTS[name], accept_with_ticket(ticket, name, attempt=f"{name}{ticket}"))

    @rule(target=tickets, reserved=tickets)
    def accept_and_reserve_again_if_fenced(self, reserved):
        name, ticket = reserved
        command = accept_with_ticket(ticket, name, attempt=f"{name}{ticket}")
        if self.submit(LOTS[name], command).get("refused") != FENCED:
            return multiple()
        again = reserve(name, attempt=f"{name}{ticket}", part=LOTS[name], fenced=ticket)
        new_ticket = self.submit(HOME, again).get("ticket")
        return multiple() if new_ticket is None else (name, new_ticket)

    @rule(name=names, number=numbers)
    def list_result(self, name, number):
        self.submit(LOTS[name], result(name, number))

    @rule(name=names)
    def end(self, name):
        if name in lot_records(self.states[LOTS[name]]):
            self.submit(LOTS[name], {"do": "raw.end", "lot": name})

    @rule(name=names)
    def drop(self, name):
        self.submit(LOTS[name], {"do": "raw.drop", "lot": name})

    def read_pending_tokens(self, part):
        reserved_tickets = self.reserved_tickets(part)
        left = tokens_left(self.states[part], reserved_tickets)
        return [(name, reserved_tickets[name], tokens) for name, tokens in left.items()]

    def fence_and_read_pending_tokens(self, part):
        reserved_tickets = self.reserved_tickets(part)
        if not reserved_tickets:
            return []
        left = self.submit(part, fence(max(reserved_tickets.values()), *reserved_tickets))["left"]
        return [(name, ticket, left.get(name, 0)) for name, ticket in reserved_tickets.items()]

    @rule(target=rows, part=parts, is_fenced=strategies.booleans())
    def collect_rows(self, part, is_fenced):
        collected_rows = (
            self.fence_and_read_pending_tokens(part)
            if is_fenced
            else self.read_pending_tokens(part)
        )
        return collected_rows or multiple()

    @rule(collected_rows=rows)
    def release(self, collected_rows):
        self.submit(HOME, release(*collected_rows))

    @rule(part=parts)
    def fence_and_release(self, part):
        self.submit(HOME, release(*self.fence_and_read_pending_tokens(part)))

    @invariant()
    def pending_tokens_stay_within_reservations_and_quota(self):
        pending = sum(
            lot["tokens"] for state in self.states.values() for lot in lot_records(state).values()
        )
        reserved = reserved_tokens(self.states[HOME], "f")
        assert pending <= reserved <= QUOTA_TOKENS
        lots = reserved_lots(self.states[HOME]).values()
        assert reserved == sum(entry["left"] for entry in lots)

    def teardown(self):
        for name in LOTS:
            for number in range(3):
                self.list_result(name, number)
        for part in self.states:
            self.fence_and_release(part)
        assert reserved_lots(self.states[HOME]) == {}


TestTokenReservationMachine = TokenReservationMachine.TestCase
TestTokenReservationMachine.settings = settings(
    max_examples=300, stateful_step_count=30, derandomize=True, deadline=None, database=None
)
