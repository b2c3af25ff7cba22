"""The linearizability checker: searches for an order of all operations that the model allows.

Sources: J. Wing and C. Gong, "Testing and Verifying Concurrent Objects" (Journal of Parallel and
Distributed Computing 17, 1993) for the search over minimal operations; G. Lowe, "Testing for
Linearizability" (Concurrency and Computation 29, 2017) for caching the configurations (set of
linearized operations, state) that were tried. Each object of a history is checked separately, which
is sound because linearizability is local (M. Herlihy and J. Wing, TOPLAS 12, 1990, theorem 1).

Three reductions limit the search without changing the verdict:

- If a completed operation may come next and changes neither the present state nor any state that
  may follow (`stays_no_op`), the search places it next and tries no alternative: in any order found
  without this rule, the operation can be moved to this position. The rule excludes orders about
  zones: a repeated one changes the state again after one that asks for the opposite.
- An operation with an unknown outcome need not be placed at all; it is tried only where it changes
  the state.
- Of operations with unknown outcomes and equal orders only the one that began first is tried: it
  may be placed wherever a later one may.
"""

import math
from typing import NamedTuple

from proving.histories.operations import READS, Operation, Unknown

MAX_CONFIGURATIONS = 500_000


class Verdict(NamedTuple):
    """The result of a search.

    Attributes
    ----------
    is_linearizable : None if the search exceeded the maximum number of configurations
    configurations : number of configurations that were tried
    placed : number of operations in the longest order found
    blocked : the completed operations that could come next after that order, all of which the model
        rejects; empty unless the history is not linearizable
    state : the state after that order
    """

    is_linearizable: bool | None
    configurations: int
    placed: int
    blocked: tuple[Operation, ...]
    state: object


class _Search:
    """The operations of one object, sorted by begin, and the possible next steps of the search.

    A set of placed operations is an integer with one bit for each operation. Operations with an
    unknown outcome end at infinity; reads with an unknown outcome are left out.
    """

    def __init__(self, model, operations):
        self.model = model
        relevant = [
            operation
            for operation in operations
            if not (isinstance(operation.answer, Unknown) and isinstance(operation.order, READS))
        ]
        self.operations = sorted(relevant, key=lambda operation: operation.begin)
        self.end_times = [
            math.inf if isinstance(o.answer, Unknown) or o.end is None else o.end
            for o in self.operations
        ]
        self.completed_mask = sum(1 << n for n, end in enumerate(self.end_times) if end < math.inf)

    def candidates(self, placed):
        """Return the indices of the operations that may come next after those placed.

        An operation may come next unless another unplaced one ended before it began.
        """
        first_end, found, unknown_orders = math.inf, [], set()
        for number, operation in enumerate(self.operations):
            if placed >> number & 1:
                continue
            if operation.begin > first_end:
                break
            first_end = min(first_end, self.end_times[number])
            if self.end_times[number] == math.inf:
                if operation.order in unknown_orders:
                    continue
                unknown_orders.add(operation.order)
            found.append(number)
        return found

    def successors(self, placed, state):
        """Return the configurations that may follow; only one if the choice does not matter."""
        found = []
        for number in self.candidates(placed):
            operation, is_unknown = self.operations[number], self.end_times[number] == math.inf
            next_states = self.model.step(state, operation.order, operation.answer)
            is_no_op = state in next_states
            if is_no_op and not is_unknown and self.model.stays_no_op(operation):
                return [(placed | 1 << number, state)]
            found.extend(
                (placed | 1 << number, next_state)
                for next_state in next_states
                if next_state != state or not is_unknown
            )
        return found


def check_operations(model, operations, max_configurations=MAX_CONFIGURATIONS):
    """Return the verdict on the operations of one object under a model.

    A model has three members. `initial_state` is hashable. `step(state, order, answer)` returns the
    states that may follow if the order takes effect with that answer; it returns no state if that
    is impossible. `stays_no_op(operation)` is true if an operation that does not change one state
    does not change any state that may follow it either.
    """
    search = _Search(model, operations)
    stack, tried = [(0, model.initial_state)], {(0, model.initial_state)}
    best = (0, model.initial_state)
    while stack:
        placed, state = stack.pop()
        if placed & search.completed_mask == search.completed_mask:
            return Verdict(True, len(tried), placed.bit_count(), (), state)
        if placed.bit_count() > best[0].bit_count():
            best = (placed, state)
        if len(tried) > max_configurations:
            return Verdict(None, len(tried), best[0].bit_count(), (), best[1])
        for successor in reversed(search.successors(placed, state)):
            if successor not in tried:
                tried.add(successor)
                stack.append(successor)
    blocked = tuple(
        search.operations[number]
        for number in search.candidates(best[0])
        if search.end_times[number] < math.inf
    )
    return Verdict(False, len(tried), best[0].bit_count(), blocked, best[1])
