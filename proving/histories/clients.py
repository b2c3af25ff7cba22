"""The clients of a recorded run: operators and lot clients, with many concurrent calls."""

from proving.histories.calls import (
    ATTEMPT_SECONDS,
    ZONES,
    answer_for_outcome,
    make_call,
    split_fetch,
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
CLIENT_WAIT_SECONDS = (0.3, 4.0)
LONG_CLIENT_WAIT_SECONDS = (10.0, 15.0)
LOST_ANSWER_SHARE = 0.12
UNSETTLED_RESEND_SHARE, SETTLED_RESEND_SHARE = 0.75, 0.15
MAX_RESENDS, MAX_READS = 4, 6
STALE_BASE_SHARE = 0.15
INVALID_CONTENT_SHARE = 0.08
LOT_END_SHARE = 0.3


class Client:
    """Sends orders to nodes, waits for each answer up to a timeout, and records the operations."""

    def __init__(self, run, name):
        self.run = run
        self.stage, self.env, self.rng = run.stage, run.stage.env, run.rng
        self.name = name

    def pause(self, low, high):
        """Process: wait for a random time between `low` and `high` seconds."""
        yield self.env.timeout(self.rng.uniform(low, high))

    def pick_node(self):
        """Return a random running edge or core; in 5 % of calls one that may be down."""
        names = [name for name in self.stage.sim.nodes if not name.startswith("store")]
        up_names = [name for name in names if self.stage.sim.is_up(self.stage.sim.nodes[name])]
        if not up_names or self.rng.random() < 0.05:
            return self.stage.sim.nodes[self.rng.choice(names)]
        return self.stage.sim.nodes[self.rng.choice(up_names)]

    def send(
        self,
        target,
        order,
        node=None,
        wait_seconds=CLIENT_WAIT_SECONDS,
        attempt_seconds=ATTEMPT_SECONDS,
    ):
        """Process: send an order once and record it; return its answer.

        The client waits for a random time within `wait_seconds`, a pair (minimum, maximum). The
        node retries for `attempt_seconds`. A read of the configuration is recorded as reads of the
        configuration, the stores and each zone.
        """
        node, begin = node or self.pick_node(), self.env.now
        coroutine = make_call(self.stage, node, target, order, attempt_seconds)
        process = self.env.process(self.stage.sim.run_coroutine(node, coroutine))
        yield process | self.env.timeout(self.rng.uniform(*wait_seconds))
        outcome = self.outcome_of(process, node)
        if isinstance(order, FetchConfiguration):
            answers = split_fetch(*(outcome or (None, None)), self.stage.zones)
            for part_target, part_order, answer in answers:
                self.stage.record(self.name, node.me.name, part_target, part_order, begin, answer)
            return answers[0][2]
        answer = Unknown() if outcome is None else answer_for_outcome(order, *outcome)
        self.run.count(f"{type(order).__name__} {type(answer).__name__}")
        self.stage.record(self.name, node.me.name, target, order, begin, answer)
        return answer

    def outcome_of(self, process, node):
        """Return (value, error) of a call, or None if the client gets no answer.

        No answer arrives if the call is not complete yet or the node died, and otherwise with the
        probability LOST_ANSWER_SHARE.
        """
        if not process.triggered or self.rng.random() < LOST_ANSWER_SHARE:
            return None
        value, error = process.value
        if value is None and error is None and node.runtime.is_dead:
            return None
        return value, error

    def send_with_resends(self, target, order):
        """Process: send an order, resend it a random number of times, and return the last answer.

        A resend is more likely after an answer Unknown or NotTaken.
        """
        answer = yield from self.send(target, order)
        for _ in range(MAX_RESENDS):
            is_unsettled = isinstance(answer, (Unknown, NotTaken))
            share = UNSETTLED_RESEND_SHARE if is_unsettled else SETTLED_RESEND_SHARE
            if self.rng.random() > share:
                break
            yield from self.pause(0, 1.0)
            answer = yield from self.send(target, order)
        return answer


class Operator(Client):
    """Changes and reads the configuration, drains zones and retires stores."""

    def __init__(self, run, name):
        super().__init__(run, name)
        self.known_number = 1
        self.sent_changes = []

    def work(self, end_time):
        """Process: take one random action after another until `end_time`."""
        actions = [
            (self.change, 40),
            (self.fetch, 30),
            (self.drain_or_restore_zone, 16),
            (self.retire_and_restore_store, 6),
            (self.resend_old_change, 4),
            (self.race_changes, 4),
            (self.send_to_frozen_node, 12),
        ]
        methods, weights = zip(*actions, strict=True)
        while self.env.now < end_time:
            yield from self.pause(0.05, 1.2)
            yield from self.rng.choices(methods, weights)[0]()

    def make_change(self):
        """Return an Adopt order based on the known configuration number or a lower one."""
        base = self.known_number
        if self.rng.random() < STALE_BASE_SHARE:
            base = self.rng.randrange(base + 1)
        names = self.rng.sample(ITEM_NAMES, self.rng.randrange(1, 3))
        is_whole = self.rng.random() < 0.4
        return Adopt(
            number=base + self.rng.choice([1, 1, 1, 2, 0]),
            base=base,
            is_whole=is_whole,
            items=tuple(sorted((name, self.run.next_value()) for name in names)),
            removed=() if is_whole else tuple(self.rng.sample(ITEM_NAMES, 1)),
            is_valid=self.rng.random() > INVALID_CONTENT_SHARE,
        )

    def change(self):
        """Process: adopt a new configuration."""
        order = self.make_change()
        self.sent_changes.append(order)
        self.update_known_number(order, (yield from self.send_with_resends(CONFIGURATION, order)))

    def update_known_number(self, order, answer):
        """Set the known number to that of an acknowledged order or of the answer."""
        if isinstance(answer, Done):
            self.known_number = order.number
        elif isinstance(answer, Conflicting) and answer.winning is not None:
            self.known_number = answer.winning
        elif isinstance(answer, ConfigurationSeen):
            self.known_number = answer.number

    def race_changes(self):
        """Process: send two different configurations with the same number concurrently."""
        first, second = self.make_change(), self.make_change()
        second = Adopt(first.number, first.base, second.is_whole, second.items)
        rival = Client(self.run, f"{self.name} too")
        rival_process = self.env.process(rival.send_with_resends(CONFIGURATION, second))
        self.update_known_number(first, (yield from self.send_with_resends(CONFIGURATION, first)))
        yield rival_process

    def resend_old_change(self):
        """Process: resend a random Adopt order that this operator sent before."""
        if self.sent_changes:
            yield from self.send(CONFIGURATION, self.rng.choice(self.sent_changes))

    def fetch(self):
        """Process: read the configuration, including the orders about zones and stores."""
        order = FetchConfiguration()
        self.update_known_number(order, (yield from self.send(CONFIGURATION, order)))

    def send_to_frozen_node(self):
        """Process: send an order to a frozen node.

        It waits in the node's socket and is among the first messages read after the thaw.
        """
        nodes = [
            node
            for name, node in self.stage.sim.nodes.items()
            if not name.startswith("store") and node.runtime.thaw_event is not None
        ]
        sender = Client(self.run, f"{self.name} waiting")
        orders = [(CONFIGURATION, FetchConfiguration()), (CONFIGURATION, self.make_change())]
        for node in nodes[:1]:
            target, order = self.rng.choice(orders)
            self.env.process(sender.send(target, order, node, LONG_CLIENT_WAIT_SECONDS))
        yield from self.pause(0, 0.2)

    def drain_or_restore_zone(self):
        """Process: drain a random zone or restore it."""
        zone = self.rng.choice(ZONES)
        yield from self.send_with_resends(f"zone/{zone}", MarkZone(self.rng.random() < 0.5))

    def retire_and_restore_store(self):
        """Process: retire a store and restore it a few seconds later."""
        store = self.rng.choice(self.stage.sim.names("store"))
        yield from self.send_with_resends(STORES, RetireStore(store))
        yield from self.pause(0.5, 3)
        yield from self.send_with_resends(STORES, RestoreStore(store))


class LotClient(Client):
    """Submits lots and ends some of them, while two readers per lot read the results."""

    def work(self, end_time):
        """Process: submit one lot after another until `end_time`.

        In a fifth of cases a rival submits another lot under the same name concurrently.
        """
        while self.env.now < end_time:
            yield from self.pause(0.2, 2.5)
            name = self.run.next_lot_name()
            target = f"lot/{name}"
            order = AcceptLot(self.name, self.rng.randrange(1, 9))
            if self.rng.random() < 0.2:
                rival = LotClient(self.run, f"{self.name} too")
                rival_order = AcceptLot(rival.name, self.rng.randrange(1, 9))
                self.env.process(rival.send_with_resends(target, rival_order))
            answer = yield from self.send_with_resends(target, order)
            if isinstance(answer, (NotTaken, Conflicting)):
                continue
            for number in range(2):
                reader = LotClient(self.run, f"{self.name} reader {number}")
                self.env.process(reader.read_until_complete(target, end_time))
            if self.rng.random() < LOT_END_SHARE:
                yield from self.pause(0, 1.5)
                yield from self.send_with_resends(target, EndLot())

    def read_until_complete(self, target, end_time):
        """Process: read a lot's results until all are listed or MAX_READS reads were sent.

        After a complete read it stops with probability 0.5. Some reads start at an earlier
        position, which checks that listed results do not change.
        """
        next_position = 0
        for _ in range(MAX_READS):
            start = self.rng.choice([0, next_position, max(0, next_position - 1)])
            answer = yield from self.send(target, ReadResults(start))
            if isinstance(answer, ResultsSeen):
                next_position = start + len(answer.rows)
            is_complete = isinstance(answer, ResultsSeen) and next_position == answer.count
            if (is_complete and self.rng.random() < 0.5) or self.env.now > end_time:
                return
            if isinstance(answer, Missing):
                return
            yield from self.pause(0.05, 1.0)
