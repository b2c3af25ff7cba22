"""The sequential specifications: the answers allowed in each state, and the states that follow.

An order with an unknown answer is allowed in every state; the checker leaves out reads with one.
"""

from typing import NamedTuple

from proving.histories.operations import (
    CONFIGURATION,
    STORES,
    AcceptLot,
    Conflicting,
    Done,
    EndLot,
    FetchConfiguration,
    Invalid,
    ItemRan,
    Missing,
    NotTaken,
    ReadZone,
    RestoreStore,
    RetireStore,
    StoresSeen,
    Unknown,
    ZoneSeen,
)
from quillring.quorum.parts import can_survive_zone_loss

IMPOSSIBLE = ()
ANSWERS_WITHOUT_EFFECT = (NotTaken, Conflicting, ZoneSeen, StoresSeen)


def is_always_no_op(operation):
    """Return whether the answer proves that an operation on a zone or store changes no state."""
    return isinstance(operation.answer, ANSWERS_WITHOUT_EFFECT)


def every_no_op_is_permanent(operation):
    """Return True: an operation that has no effect now has none in any later state.

    This holds for configurations and lots: repeated orders are recognized, the end of a lot is
    final, and reads only add to the known results.
    """
    return True


class ConfigurationState(NamedTuple):
    """The current configuration, and in `taken` the pairs (number, order) that were adopted."""

    number: int
    items: tuple
    taken: tuple


class ConfigurationModel:
    """The configuration: a register that is changed by compare-and-set on its number."""

    initial_state = ConfigurationState(0, (), ())
    stays_no_op = staticmethod(every_no_op_is_permanent)

    def step(self, state, order, answer):
        """Return the states that may follow."""
        if isinstance(answer, NotTaken):
            return (state,)
        if isinstance(order, FetchConfiguration):
            is_seen = (answer.number, answer.items) == (state.number, state.items)
            return (state,) if is_seen else IMPOSSIBLE
        is_repeat = dict(state.taken).get(order.number) == order
        if isinstance(answer, Conflicting):
            is_stale = not is_repeat and order.base != state.number
            return (state,) if is_stale and answer.winning == state.number else IMPOSSIBLE
        is_bad = not order.is_valid or order.number <= state.number
        if isinstance(answer, Invalid):
            return (state,) if is_bad and not is_repeat else IMPOSSIBLE
        if is_repeat:
            return (state,)
        if is_bad or order.base != state.number:
            return (state,) if isinstance(answer, Unknown) else IMPOSSIBLE
        return (self.state_after_adoption(state, order),)

    def state_after_adoption(self, state, order):
        """Return the state after an order is adopted."""
        previous = {} if order.is_whole else dict(state.items)
        remaining = {name: value for name, value in previous.items() if name not in order.removed}
        items = tuple(sorted({**remaining, **dict(order.items)}.items()))
        return ConfigurationState(order.number, items, (*state.taken, (order.number, order)))


class ZoneModel:
    """Whether a zone is drained: a register with a Boolean value."""

    initial_state = False
    stays_no_op = staticmethod(is_always_no_op)

    def step(self, state, order, answer):
        """Return the states that may follow."""
        if isinstance(answer, (NotTaken, Conflicting)):
            return (state,)
        if isinstance(order, ReadZone):
            return (state,) if answer.is_emptied == state else IMPOSSIBLE
        return (order.is_emptied,) if isinstance(answer, (Done, Unknown)) else IMPOSSIBLE


class StoresModel:
    """The set of retired stores.

    A retirement succeeds only if the remaining stores can survive the loss of a zone.
    """

    initial_state = frozenset()
    stays_no_op = staticmethod(is_always_no_op)

    def __init__(self, zones, group_size):
        self.zones = dict(zones)
        self.group_size = group_size

    def step(self, state, order, answer):
        """Return the states that may follow.

        A conflict is allowed in every state, as the product also refuses a retirement when too few
        of the remaining stores are reachable.
        """
        if isinstance(answer, (NotTaken, Conflicting)):
            return (state,)
        if isinstance(order, RestoreStore):
            return (state - {order.store},)
        if not isinstance(order, RetireStore):
            return (state,) if frozenset(answer.retired) == state else IMPOSSIBLE
        if order.store in state:
            return (state,)
        retired = state | {order.store}
        remaining = [zone for name, zone in self.zones.items() if name not in retired]
        if can_survive_zone_loss(remaining, self.group_size):
            return (retired,)
        return (state,) if isinstance(answer, Unknown) else IMPOSSIBLE


class LotState(NamedTuple):
    """The known part of a lot's results.

    Attributes
    ----------
    digest : digest of the accepted content, None before the lot is accepted
    count : number of items of the lot
    is_ended : whether the lot was ended
    rows : results by position, None at positions that no read has returned
    min_result_count : lower bound on the number of listed results
    max_result_count : upper bound on that number, None while the lot is open
    """

    digest: str | None = None
    count: int = 0
    is_ended: bool = False
    rows: tuple = ()
    min_result_count: int = 0
    max_result_count: int | None = None


class LotModel:
    """A lot: it is accepted once, results are only appended, and none are listed after its end.

    Results are listed by the product and not by an operation of a client, so their number is known
    only from reads. A later read may return more results while the lot is open, and must return
    the same number once it has ended.
    """

    initial_state = LotState()
    stays_no_op = staticmethod(every_no_op_is_permanent)

    def step(self, state, order, answer):
        """Return the states that may follow."""
        if isinstance(answer, NotTaken):
            return (state,)
        if isinstance(order, AcceptLot):
            return self.accept(state, order, answer)
        if isinstance(answer, Missing):
            return (state,) if state.digest is None else IMPOSSIBLE
        if state.digest is None:
            return (state,) if isinstance(answer, Unknown) else IMPOSSIBLE
        if isinstance(order, ItemRan):
            return (state,)
        if isinstance(order, EndLot):
            return (state._replace(is_ended=True),)
        return self.read(state, order, answer)

    def accept(self, state, order, answer):
        """Return the states that may follow an order to accept a lot."""
        is_different = state.digest not in (None, order.digest)
        if isinstance(answer, Conflicting):
            return (state,) if is_different else IMPOSSIBLE
        if is_different:
            return (state,) if isinstance(answer, Unknown) else IMPOSSIBLE
        if state.digest is not None:
            return (state,)
        return (state._replace(digest=order.digest, count=order.count),)

    def read(self, state, order, answer):
        """Return the states that may follow a read of results.

        There are none if the results contradict earlier reads.
        """
        end = order.start + len(answer.rows)
        is_end_certain = bool(answer.rows) or order.start <= state.min_result_count
        min_result_count = end if is_end_certain else state.min_result_count
        if answer.count != state.count or end < state.min_result_count or end > state.count:
            return IMPOSSIBLE
        if state.max_result_count is not None and min_result_count > state.max_result_count:
            return IMPOSSIBLE
        rows = list(state.rows) + [None] * (end - len(state.rows))
        for position, row in enumerate(answer.rows, order.start):
            if rows[position] not in (None, row):
                return IMPOSSIBLE
            rows[position] = row
        names = [row[0] for row in rows if row is not None]
        if len(set(names)) < len(names):
            return IMPOSSIBLE
        while rows and rows[-1] is None:
            rows.pop()
        max_result_count = min(
            end, state.count if state.max_result_count is None else state.max_result_count
        )
        max_result_count = max_result_count if state.is_ended else None
        return (
            state._replace(
                rows=tuple(rows),
                min_result_count=min_result_count,
                max_result_count=max_result_count,
            ),
        )


def model_for_target(target, history):
    """Return a model for the object with this name in a history."""
    if target == CONFIGURATION:
        return ConfigurationModel()
    if target == STORES:
        return StoresModel(history.stores, history.group_size)
    return ZoneModel() if target.startswith("zone/") else LotModel()
