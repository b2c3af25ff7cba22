"""The simulated network: delay, loss, doubling, reorder, cuts, late copies, slow links."""

import enum

LONGEST_HOLD = 25.0


class CutKind(enum.StrEnum):
    """What a cut does to connections; datagrams vanish in each.

    A silent one swallows what is sent. A resetting one resets the open connections and each later
    one once it carries a frame. A refusing one resets the open ones and refuses each later one.
    """

    SILENT = "silent"
    RESETTING = "resetting"
    REFUSING = "refusing"


class SimNet:
    """Carries datagrams and frames between addresses."""

    def __init__(self, env, chance):
        self.env = env
        self.chance = chance
        self.receivers = {}
        self.channels = {}
        self.refusing = set()
        self.cuts = set()
        self.loud_cuts = {}
        self.lives = {}
        self.reset_frames = self.refused_frames = 0
        self.loss_share = 0.0
        self.double_share = 0.0
        self.reorder_share = 0.0
        self.late_copy_share = 0.0
        self.late_share = 0.0
        self.longest_hold = LONGEST_HOLD
        self.held_ways = {}
        self.late_packets = 0
        self.min_delay, self.max_delay = 0.0005, 0.003
        self.carried = 0
        self.link_bytes_per_second = None
        self.frame_seconds = 1.0
        self.free_at = {}
        self.largest_frame = 0

    def attach(self, address, runtime):
        """Let the runtime receive at an address."""
        self.receivers[address] = runtime
        self.refusing.discard(address)

    def cut(self, home, target, both_ways=True, kind=CutKind.SILENT):
        """Cut the way from one address to another; one that is cut already stays as it is."""
        ways = [(home, target), (target, home)] if both_ways else [(home, target)]
        for way in ways:
            if way not in self.cuts:
                self._cut_way(way, kind)

    def _cut_way(self, way, kind):
        self.cuts.add(way)
        self.loud_cuts.pop(way, None)
        if kind is not CutKind.SILENT:
            self.loud_cuts[way] = kind
            self._reset_way(way)

    def _reset_way(self, way):
        """Reset the connection on a way: what is under way on it is lost, its owner looks again."""
        home, target = way
        self.lives[way] = self.lives.get(way, 0) + 1
        if self.channels.get(target, {}).pop(home, False):
            self._answer_frame(home, target)

    def _answer_frame(self, home, target):
        """Have a loud cut answer a frame or a new connection on its way."""
        kind = self.loud_cuts.get((home, target))
        self.reset_frames += kind is CutKind.RESETTING
        if kind is CutKind.REFUSING:
            self.refused_frames += 1
            event = self.env.timeout(self.max_delay * 3)
            event.callbacks.append(lambda _: self._refuse_by_cut(home, target))

    def _refuse_by_cut(self, home, target):
        """Tell a sender that its connection was refused, if the cut is there still."""
        way, runtime = (home, target), self.receivers.get(home)
        is_refusing = way in self.cuts and self.loud_cuts.get(way) is CutKind.REFUSING
        if is_refusing and runtime is not None:
            runtime.receive("refused", target)

    def _is_cut_loudly(self, home, target):
        return (home, target) in self.cuts and (home, target) in self.loud_cuts

    def hold_way(self, home, target, end_time, release_event):
        """Hold the frames that are sent on a way until `end_time`; they come after the event.

        So does a connection that stalls while datagrams and later connections pass.
        """
        self.held_ways[home, target] = (end_time, release_event)

    def heal(self):
        """Heal every cut and stop losing, doubling, reordering and holding."""
        self.cuts.clear()
        self.loud_cuts.clear()
        self.held_ways.clear()
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
        is_frame, life = kind == "frame", self.lives.get((home, target), 0)
        if is_frame and self._is_cut_loudly(home, target):
            self._answer_frame(home, target)
        elif is_frame:
            self.channels.setdefault(target, {})[home] = True
        if self._is_drawn(self.late_copy_share):
            self._hold(home, target, data, kind)
        if self._is_drawn(self.late_share):
            self._hold(home, target, data, kind)
            return
        if is_frame and self._is_held(home, target, data):
            return
        if not self.passes(home, target) or self.chance.random() < self.loss_share:
            return
        copies = 2 if self.chance.random() < self.double_share else 1
        for _ in range(copies):
            seconds = self._sending_seconds(home, data) if is_frame else 0
            if seconds is None:
                return
            event = self.env.timeout(self.delay() + seconds)
            event.callbacks.append(lambda _: self._arrive(home, target, data, kind, life))

    def close_channels(self, target):
        """Close every connection to an address whose process ended, and take no new one there.

        Whoever had one looks again, and is refused unless the process was started anew meanwhile.
        """
        self.refusing.add(target)
        for home in self.channels.pop(target, {}):
            event = self.env.timeout(self.max_delay * 3)
            event.callbacks.append(lambda _, home=home: self._refuse(home, target))

    def _refuse(self, home, target):
        runtime, is_open = self.receivers.get(home), self.passes(target, home)
        if (
            target in self.refusing
            and runtime is not None
            and is_open
            and self.passes(home, target)
        ):
            runtime.receive("refused", target)

    def _is_drawn(self, share):
        """Tell whether a rare thing happens; a share of zero takes nothing from the chance."""
        return share > 0 and self.chance.random() < share

    def _is_held(self, home, target, data):
        """Hold a frame if its way holds frames now; tell whether it was."""
        end_time, release_event = self.held_ways.get((home, target), (0, None))
        if self.env.now >= end_time or release_event.processed:
            return False
        life = self.lives.get((home, target), 0)
        release_event.callbacks.append(lambda _: self._arrive(home, target, data, "frame", life))
        return True

    def _hold(self, home, target, data, kind):
        """Deliver a packet after it was held for up to `longest_hold` seconds."""
        self.late_packets += 1
        event = self.env.timeout(self.chance.uniform(self.max_delay, self.longest_hold))
        event.callbacks.append(lambda _: self._arrive(home, target, data, kind))

    def _sending_seconds(self, home, data):
        """Return how long a frame takes over the sender's link, with those sent before it.

        None for one that the link can't carry within `frame_seconds`: its channel gives it up, and
        was busy with it for as long.
        """
        self.largest_frame = max(self.largest_frame, len(data))
        if self.link_bytes_per_second is None:
            return 0
        own_seconds = len(data) / self.link_bytes_per_second
        start_time = max(self.env.now, self.free_at.get(home, 0))
        self.free_at[home] = start_time + min(own_seconds, self.frame_seconds)
        return None if own_seconds > self.frame_seconds else self.free_at[home] - self.env.now

    def _arrive(self, home, target, data, kind, life=None):
        runtime = self.receivers.get(target)
        if kind == "frame" and life not in (None, self.lives.get((home, target), 0)):
            self.reset_frames += 1
            return
        if kind == "frame":
            self._refuse(home, target)
        if runtime is not None and self.passes(home, target):
            runtime.receive(kind, data)
