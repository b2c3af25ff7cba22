"""The clients of a recorded run: operators and clients of lots, many calls under way at once."""

from proving.histories.calls import (
    TRY_SECONDS,
    ZONES,
    answer_of,
    make_script,
    parts_of_fetch,
)
from proving.histories.operations import (
    CONFIGURATION,
    STORES,
    AcceptLot,
    Adopt,
    ConfigurationSeen,
    Conflicting,
    Done,
    EndLot,
    FetchConfiguration,
    MarkZone,
    Missing,
    NotTaken,
    ReadResults,
    RestoreStore,
    ResultsSeen,
    RetireStore,
    Unknown,
)

ITEM_NAMES = ("a", "b", "c", "d")
PATIENCE = (0.3, 4.0)
LONG_PATIENCE = (10.0, 15.0)
LOST_ANSWER_SHARE = 0.12
RESEND_SHARE, REPEAT_SHARE = 0.75, 0.15
MOST_RESENDS, MOST_READS = 4, 6
STALE_SHARE = 0.15
INVALID_SHARE = 0.08
END_SHARE = 0.3


class Client:
    """What every client does: send an order at some node, wait for a while, record it."""

    def __init__(self, run, name):
        self.run = run
        self.stage, self.env, self.chance = run.stage, run.stage.env, run.chance
        self.name = name

    def pause(self, low, high):
        """Process: wait for a while."""
        yield self.env.timeout(self.chance.uniform(low, high))

    def pick_node(self):
        """Return a node that takes orders; now and then one that does not answer."""
        names = [name for name in self.stage.sim.nodes if not name.startswith("store")]
        up_names = [name for name in names if self.stage.sim.is_up(self.stage.sim.nodes[name])]
        if not up_names or self.chance.random() < 0.05:
            return self.stage.sim.nodes[self.chance.choice(names)]
        return self.stage.sim.nodes[self.chance.choice(up_names)]

    def send(self, target, order, node=None, patience=PATIENCE, seconds=TRY_SECONDS):
        """Process: send an order once and record it; return its answer.

        `patience` are the least and the most seconds that the client waits, `seconds` those for
        which the node tries.
        """
        node, begin = node or self.pick_node(), self.env.now
        coroutine = make_script(self.stage, node, target, order, seconds)
        process = self.env.process(self.stage.sim.run_coroutine(node, coroutine))
        yield process | self.env.timeout(self.chance.uniform(*patience))
        outcome = self.outcome_of(process, node)
        if isinstance(order, FetchConfiguration):
            answers = parts_of_fetch(*(outcome or (None, None)), self.stage.zones)
            for part_target, part_order, answer in answers:
                self.stage.record(self.name, node.me.name, part_target, part_order, begin, answer)
            return answers[0][2]
        answer = Unknown() if outcome is None else answer_of(order, *outcome)
        self.run.count(f"{type(order).__name__} {type(answer).__name__}")
        self.stage.record(self.name, node.me.name, target, order, begin, answer)
        return answer

    def outcome_of(self, process, node):
        """Return (value, error) of a call, or None when its answer came too late or was lost."""
        if not process.triggered or self.chance.random() < LOST_ANSWER_SHARE:
            return None
        value, error = process.value
        if value is None and error is None and node.runtime.is_dead:
            return None
        return value, error

    def send_surely(self, target, order):
        """Process: send an order, and the very same again elsewhere while its fate is open."""
        answer = yield from self.send(target, order)
        for _ in range(MOST_RESENDS):
            is_open = isinstance(answer, (Unknown, NotTaken))
            share = RESEND_SHARE if is_open else REPEAT_SHARE
            if self.chance.random() > share:
                break
            yield from self.pause(0, 1.0)
            answer = yield from self.send(target, order)
        return answer


class Operator(Client):
    """Changes and reads the configuration, empties zones, retires stores."""

    def __init__(self, run, name):
        super().__init__(run, name)
        self.known_number = 1
        self.old_orders = []

    def work(self, end_time):
        """Process: one order after another until the end."""
        deeds = [
            (self.change, 40),
            (self.fetch, 30),
            (self.order_zone, 16),
            (self.order_store, 6),
            (self.repeat_old, 4),
            (self.race, 4),
            (self.ask_sleeper, 12),
        ]
        names, weights = zip(*deeds, strict=True)
        while self.env.now < end_time:
            yield from self.pause(0.05, 1.2)
            yield from self.chance.choices(names, weights)[0]()

    def make_change(self):
        """Return an order that builds on what this operator knows, or on something older."""
        base = self.known_number
        if self.chance.random() < STALE_SHARE:
            base = self.chance.randrange(base + 1)
        names = self.chance.sample(ITEM_NAMES, self.chance.randrange(1, 3))
        is_whole = self.chance.random() < 0.4
        return Adopt(
            number=base + self.chance.choice([1, 1, 1, 2, 0]),
            base=base,
            is_whole=is_whole,
            items=tuple(sorted((name, self.run.next_value()) for name in names)),
            removed=() if is_whole else tuple(self.chance.sample(ITEM_NAMES, 1)),
            is_valid=self.chance.random() > INVALID_SHARE,
        )

    def change(self):
        """Process: change the configuration."""
        order = self.make_change()
        self.old_orders.append(order)
        self.learn(order, (yield from self.send_surely(CONFIGURATION, order)))

    def learn(self, order, answer):
        """Remember the newest number that an answer tells."""
        if isinstance(answer, Done):
            self.known_number = order.number
        elif isinstance(answer, Conflicting) and answer.winning is not None:
            self.known_number = answer.winning
        elif isinstance(answer, ConfigurationSeen):
            self.known_number = answer.number

    def race(self):
        """Process: two different configurations under one number, at once at two nodes."""
        first, second = self.make_change(), self.make_change()
        second = Adopt(first.number, first.base, second.is_whole, second.items)
        helper = Client(self.run, f"{self.name} too")
        other = self.env.process(helper.send_surely(CONFIGURATION, second))
        self.learn(first, (yield from self.send_surely(CONFIGURATION, first)))
        yield other

    def repeat_old(self):
        """Process: send an order of long ago again."""
        if self.old_orders:
            yield from self.send(CONFIGURATION, self.chance.choice(self.old_orders))

    def fetch(self):
        """Process: read the configuration with all marks."""
        order = FetchConfiguration()
        self.learn(order, (yield from self.send(CONFIGURATION, order)))

    def ask_sleeper(self):
        """Process: an order waits in the socket of a frozen node, and is the first it finds."""
        nodes = [
            node
            for name, node in self.stage.sim.nodes.items()
            if not name.startswith("store") and node.runtime.thaw_event is not None
        ]
        helper = Client(self.run, f"{self.name} waiting")
        orders = [(CONFIGURATION, FetchConfiguration()), (CONFIGURATION, self.make_change())]
        for node in nodes[:1]:
            target, order = self.chance.choice(orders)
            self.env.process(helper.send(target, order, node, LONG_PATIENCE))
        yield from self.pause(0, 0.2)

    def order_zone(self):
        """Process: empty a zone or restore it."""
        zone = self.chance.choice(ZONES)
        yield from self.send_surely(f"zone/{zone}", MarkZone(self.chance.random() < 0.5))

    def order_store(self):
        """Process: retire a store, and take that back after a while."""
        store = self.chance.choice(self.stage.sim.names("store"))
        yield from self.send_surely(STORES, RetireStore(store))
        yield from self.pause(0.5, 3)
        yield from self.send_surely(STORES, RestoreStore(store))


class LotClient(Client):
    """Hands lots in, reads their results, ends some; others read the same lots."""

    def work(self, end_time):
        """Process: one lot after another until the end."""
        while self.env.now < end_time:
            yield from self.pause(0.2, 2.5)
            name = self.run.next_lot()
            target = f"lot/{name}"
            order = AcceptLot(self.name, self.chance.randrange(1, 9))
            if self.chance.random() < 0.2:
                rival = LotClient(self.run, f"{self.name} too")
                other_order = AcceptLot(rival.name, self.chance.randrange(1, 9))
                self.env.process(rival.send_surely(target, other_order))
            answer = yield from self.send_surely(target, order)
            if isinstance(answer, (NotTaken, Conflicting)):
                continue
            for number in range(2):
                reader = LotClient(self.run, f"{self.name} reader {number}")
                self.env.process(reader.read_on(target, end_time))
            if self.chance.random() < END_SHARE:
                yield from self.pause(0, 1.5)
                yield from self.send_surely(target, EndLot())

    def read_on(self, target, end_time):
        """Process: read a lot's results until all are there."""
        shown = 0
        for _ in range(MOST_READS):
            start = self.chance.choice([0, shown, max(0, shown - 1)])
            answer = yield from self.send(target, ReadResults(start))
            if isinstance(answer, ResultsSeen):
                shown = start + len(answer.rows)
            is_over = isinstance(answer, ResultsSeen) and shown == answer.count
            if (is_over and self.chance.random() < 0.5) or self.env.now > end_time:
                return
            if isinstance(answer, Missing):
                return
            yield from self.pause(0.05, 1.0)
