"""The linearizability checker: a search for an order of all operations that a model allows.

Sources: J. Wing and C. Gong, "Testing and Verifying Concurrent Objects" (Journal of Parallel and
Distributed Computing 17, 1993) for the search over minimal operations; G. Lowe, "Testing for
Linearizability" (Concurrency and Computation 29, 2017) for remembering the configurations (set of
linearized operations, state) that were tried. Histories are parted by object first, which is
sound because linearizability is local (M. Herlihy and J. Wing, TOPLAS 12, 1990, theorem 1).

Three reductions keep the search small, each of which leaves the verdict as it is:

- A completed operation that may go first and leaves the state as it is, now and in all states that
  may follow (`is_lasting`), goes first, without an alternative: in any order found later it can be
  moved to the front. A repeated order about a zone is not: it counts after a contrary one.
- An operation with an unknown outcome need not be placed at all; it is tried only where it changes
  the state.
- Of operations with unknown outcomes and equal orders only the one that began first is tried: it
  may stand wherever a later one may.
"""

import math
from typing import NamedTuple

from proving.histories.operations import READS, Operation, Unknown

MOST_CONFIGURATIONS = 500_000


class Verdict(NamedTuple):
    """What the search found; `is_linearizable` is None when it was given up.

    `stuck` are the operations that could not be placed after the longest order found, and
    `placed` counts the operations of that order.
    """

    is_linearizable: bool | None
    configurations: int
    placed: int
    stuck: tuple[Operation, ...]
    state: object


class _Search:
    """One search over the operations of one object."""

    def __init__(self, model, operations):
        self.model = model
        kept = [
            operation
            for operation in operations
            if not (isinstance(operation.answer, Unknown) and isinstance(operation.order, READS))
        ]
        self.operations = sorted(kept, key=lambda operation: operation.begin)
        self.ends = [
            math.inf if isinstance(o.answer, Unknown) or o.end is None else o.end
            for o in self.operations
        ]
        self.completed = sum(1 << n for n, end in enumerate(self.ends) if end < math.inf)

    def candidates(self, placed):
        """Return the numbers of the operations that may come next after those placed."""
        first_end, numbers, unknown_orders = math.inf, [], set()
        for number, operation in enumerate(self.operations):
            if placed >> number & 1:
                continue
            if operation.begin > first_end:
                break
            first_end = min(first_end, self.ends[number])
            if self.ends[number] == math.inf:
                if operation.order in unknown_orders:
                    continue
                unknown_orders.add(operation.order)
            numbers.append(number)
        return numbers

    def successors(self, placed, state):
        """Return the configurations that follow: one alone where the choice does not matter."""
        found = []
        for number in self.candidates(placed):
            operation, is_unknown = self.operations[number], self.ends[number] == math.inf
            next_states = self.model.step(state, operation.order, operation.answer)
            is_idle = state in next_states
            if is_idle and not is_unknown and self.model.is_lasting(operation):
                return [(placed | 1 << number, state)]
            found.extend(
                (placed | 1 << number, next_state)
                for next_state in next_states
                if next_state != state or not is_unknown
            )
        return found


def check_operations(model, operations, most=MOST_CONFIGURATIONS):
    """Return the verdict on the operations of one object under a model.

    A model has `first_state`, which is hashable, and `step(state, order, answer)`, which returns
    the states that may follow when the order takes effect with that answer; none: not possible.
    `is_lasting(operation)` tells that an operation that leaves a state as it is does so in every
    state that may follow that one, too.
    """
    search = _Search(model, operations)
    stack, tried = [(0, model.first_state)], {(0, model.first_state)}
    best = (0, model.first_state)
    while stack:
        placed, state = stack.pop()
        if placed & search.completed == search.completed:
            return Verdict(True, len(tried), placed.bit_count(), (), state)
        if placed.bit_count() > best[0].bit_count():
            best = (placed, state)
        if len(tried) > most:
            return Verdict(None, len(tried), best[0].bit_count(), (), best[1])
        for following in reversed(search.successors(placed, state)):
            if following not in tried:
                tried.add(following)
                stack.append(following)
    stuck = tuple(
        search.operations[number]
        for number in search.candidates(best[0])
        if search.ends[number] < math.inf
    )
    return Verdict(False, len(tried), best[0].bit_count(), stuck, best[1])
