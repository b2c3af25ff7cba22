"""The simulated network: delay, loss, doubling, reorder, one-way cuts, copies that come late."""

LONGEST_HOLD = 25.0


class SimNet:
    """Carries datagrams and frames between addresses."""

    def __init__(self, env, chance):
        self.env = env
        self.chance = chance
        self.receivers = {}
        self.cuts = set()
        self.loss_share = 0.0
        self.double_share = 0.0
        self.reorder_share = 0.0
        self.late_copy_share = 0.0
        self.late_share = 0.0
        self.longest_hold = LONGEST_HOLD
        self.late_packets = 0
        self.min_delay, self.max_delay = 0.0005, 0.003
        self.carried = 0

    def attach(self, address, world):
        """Let the world receive at an address."""
        self.receivers[address] = world

    def cut(self, home, target, both_ways=True):
        """Cut the way from one address to another."""
        self.cuts.add((home, target))
        if both_ways:
            self.cuts.add((target, home))

    def heal(self):
        """Heal every cut and stop losing, doubling and reordering."""
        self.cuts.clear()
        self.loss_share = self.double_share = self.reorder_share = 0.0
        self.late_copy_share = self.late_share = 0.0

    def passes(self, home, target):
        """Tell whether the way is open."""
        return (home, target) not in self.cuts

    def delay(self):
        """Return the delay of one packet."""
        seconds = self.chance.uniform(self.min_delay, self.max_delay)
        if self.chance.random() < self.reorder_share:
            seconds += self.chance.uniform(0, 0.25)
        return seconds

    def carry(self, home, target, data, kind):
        """Carry a packet, or lose or double it, or hold it or a copy of it for seconds.

        What is held comes through a cut that is over by then, and to whichever process has the
        address at that time: a relay or a socket may hold a message for so long.
        """
        self.carried += 1
        if self._is_drawn(self.late_copy_share):
            self._hold(home, target, data, kind)
        if self._is_drawn(self.late_share):
            self._hold(home, target, data, kind)
            return
        if not self.passes(home, target) or self.chance.random() < self.loss_share:
            return
        copies = 2 if self.chance.random() < self.double_share else 1
        for _ in range(copies):
            event = self.env.timeout(self.delay())
            event.callbacks.append(lambda _: self._arrive(home, target, data, kind))

    def _is_drawn(self, share):
        """Tell whether a rare thing happens; a share of zero takes nothing from the chance."""
        return share > 0 and self.chance.random() < share

    def _hold(self, home, target, data, kind):
        """Deliver a packet after it was held for up to `longest_hold` seconds."""
        self.late_packets += 1
        event = self.env.timeout(self.chance.uniform(self.max_delay, self.longest_hold))
        event.callbacks.append(lambda _: self._arrive(home, target, data, kind))

    def _arrive(self, home, target, data, kind):
        world = self.receivers.get(target)
        if world is not None and self.passes(home, target):
            world.receive(kind, data)
