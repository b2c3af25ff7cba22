"""The sequential specifications: what each order may answer in which state, and what follows."""

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
EFFECTLESS = (NotTaken, Conflicting, ZoneSeen, StoresSeen)


def is_without_effect(operation):
    """Tell whether an operation about a zone or a store changes nothing in any state."""
    return isinstance(operation.answer, EFFECTLESS)


def is_taken_for_good(operation):
    """Tell that an order that was taken once has no further effect, whatever follows.

    So it is with configurations and lots: repeats are known as such, an end stays, and reads only
    add to what is known.
    """
    return True


class ConfigurationState(NamedTuple):
    """The current configuration, and the order that was taken under each number."""

    number: int
    items: tuple
    taken: tuple


class ConfigurationModel:
    """The configuration: a register that is changed by compare and set on its number."""

    first_state = ConfigurationState(0, (), ())
    is_lasting = staticmethod(is_taken_for_good)

    def step(self, state, order, answer):
        """Return the states that may follow."""
        if isinstance(answer, NotTaken):
            return (state,)
        if isinstance(order, FetchConfiguration):
            is_seen = (answer.number, answer.items) == (state.number, state.items)
            return (state,) if is_seen else IMPOSSIBLE
        is_repeat = dict(state.taken).get(order.number) == order
        if isinstance(answer, Conflicting):
            is_lost = not is_repeat and order.base != state.number
            return (state,) if is_lost and answer.winning == state.number else IMPOSSIBLE
        is_bad = not order.is_valid or order.number <= state.number
        if isinstance(answer, Invalid):
            return (state,) if is_bad and not is_repeat else IMPOSSIBLE
        if is_repeat:
            return (state,)
        if is_bad or order.base != state.number:
            return (state,) if isinstance(answer, Unknown) else IMPOSSIBLE
        return (self.adopted(state, order),)

    def adopted(self, state, order):
        """Return the state after an order that is taken."""
        former = {} if order.is_whole else dict(state.items)
        kept = {name: value for name, value in former.items() if name not in order.removed}
        items = tuple(sorted({**kept, **dict(order.items)}.items()))
        return ConfigurationState(order.number, items, (*state.taken, (order.number, order)))


class ZoneModel:
    """A zone that is emptied or not: a register; repeats change nothing."""

    first_state = False
    is_lasting = staticmethod(is_without_effect)

    def step(self, state, order, answer):
        """Return the states that may follow."""
        if isinstance(answer, (NotTaken, Conflicting)):
            return (state,)
        if isinstance(order, ReadZone):
            return (state,) if answer.is_emptied == state else IMPOSSIBLE
        return (order.is_emptied,) if isinstance(answer, (Done, Unknown)) else IMPOSSIBLE


class StoresModel:
    """The set of retired stores; enough others must remain whenever one is added."""

    first_state = frozenset()
    is_lasting = staticmethod(is_without_effect)

    def __init__(self, zones, group_size):
        self.zones = dict(zones)
        self.group_size = group_size

    def step(self, state, order, answer):
        """Return the states that may follow; a conflict may also rest on who is in reach."""
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
    """What is known of a lot's results: rows by position, and bounds on how many there are."""

    digest: str | None = None
    count: int = 0
    is_ended: bool = False
    rows: tuple = ()
    least: int = 0
    most: int | None = None


class LotModel:
    """A lot: accepted once, results only appended, nothing listed after its end.

    The listing of results is no client's operation. A read learns how many there are: a later one
    may show more while the lot is open, and must show as many once it has ended.
    """

    first_state = LotState()
    is_lasting = staticmethod(is_taken_for_good)

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
        """Return what follows an order to accept a lot."""
        is_other = state.digest not in (None, order.digest)
        if isinstance(answer, Conflicting):
            return (state,) if is_other else IMPOSSIBLE
        if is_other:
            return (state,) if isinstance(answer, Unknown) else IMPOSSIBLE
        if state.digest is not None:
            return (state,)
        return (state._replace(digest=order.digest, count=order.count),)

    def read(self, state, order, answer):
        """Return what follows a read of results, if it fits all that was read before."""
        shown = order.start + len(answer.rows)
        is_whole = bool(answer.rows) or order.start <= state.least
        least = shown if is_whole else state.least
        if answer.count != state.count or shown < state.least or shown > state.count:
            return IMPOSSIBLE
        if state.most is not None and least > state.most:
            return IMPOSSIBLE
        rows = list(state.rows) + [None] * (shown - len(state.rows))
        for place, row in enumerate(answer.rows, order.start):
            if rows[place] not in (None, row):
                return IMPOSSIBLE
            rows[place] = row
        names = [row[0] for row in rows if row is not None]
        if len(set(names)) < len(names):
            return IMPOSSIBLE
        while rows and rows[-1] is None:
            rows.pop()
        most = min(shown, state.count if state.most is None else state.most)
        most = most if state.is_ended else None
        return (state._replace(rows=tuple(rows), least=least, most=most),)


def model_of(target, history):
    """Return the model of an object of a history, by the object's name."""
    if target == CONFIGURATION:
        return ConfigurationModel()
    if target == STORES:
        return StoresModel(history.stores, history.group_size)
    return ZoneModel() if target.startswith("zone/") else LotModel()
