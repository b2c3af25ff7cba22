"""The simulated network: delay, loss, duplication, reordering, cuts, late delivery, slow links."""

import enum

MAX_LATE_DELAY_SECONDS = 25.0


class CutKind(enum.StrEnum):
    """What a cut does to connections; datagrams are dropped by every kind.

    A silent cut drops frames without any signal. A resetting cut resets open connections, and a
    new connection as soon as it carries a frame. A refusing cut resets open connections and refuses
    new ones. Resetting and refusing cuts are called loud.
    """

    SILENT = "silent"
    RESETTING = "resetting"
    REFUSING = "refusing"


class SimNet:
    """Carries datagrams and frames between addresses.

    A link is a pair (source address, target address), that is, one direction.
    """

    def __init__(self, env, chance):
        self.env = env
        self.chance = chance
        self.receivers = {}
        self.channels = {}
        self.refusing_addresses = set()
        self.cuts = set()
        self.loud_cuts = {}
        self.connection_epochs = {}
        self.reset_frames = self.refused_frames = 0
        self.loss_share = 0.0
        self.duplicate_share = 0.0
        self.reorder_share = 0.0
        self.late_copy_share = 0.0
        self.late_share = 0.0
        self.max_late_delay_seconds = MAX_LATE_DELAY_SECONDS
        self.held_links = {}
        self.late_packets = 0
        self.min_delay_seconds, self.max_delay_seconds = 0.0005, 0.003
        self.carried_packets = 0
        self.link_bytes_per_second = None
        self.max_frame_seconds = 1.0
        self.uplink_free_at = {}
        self.largest_frame = 0

    def attach(self, address, runtime):
        """Deliver packets for an address to this runtime."""
        self.receivers[address] = runtime
        self.refusing_addresses.discard(address)

    def cut(self, source, target, both_ways=True, kind=CutKind.SILENT):
        """Cut the link from one address to another; a link that is already cut is unchanged."""
        links = [(source, target), (target, source)] if both_ways else [(source, target)]
        for link in links:
            if link not in self.cuts:
                self._cut_link(link, kind)

    def _cut_link(self, link, kind):
        self.cuts.add(link)
        self.loud_cuts.pop(link, None)
        if kind is not CutKind.SILENT:
            self.loud_cuts[link] = kind
            self._reset_connection(link)

    def _reset_connection(self, link):
        """Reset the connection on a link: its frames in flight are lost, the sender reconnects.

        A new epoch of the link marks the frames sent before as lost.
        """
        source, target = link
        self.connection_epochs[link] = self.connection_epochs.get(link, 0) + 1
        if self.channels.get(target, {}).pop(source, False):
            self._answer_frame(source, target)

    def _answer_frame(self, source, target):
        """Reset or refuse a frame or a new connection on a link with a loud cut."""
        kind = self.loud_cuts.get((source, target))
        self.reset_frames += kind is CutKind.RESETTING
        if kind is CutKind.REFUSING:
            self.refused_frames += 1
            event = self.env.timeout(self.max_delay_seconds * 3)
            event.callbacks.append(lambda _: self._refuse_by_cut(source, target))

    def _refuse_by_cut(self, source, target):
        """Notify a sender that its connection was refused, unless the cut has been healed."""
        link, runtime = (source, target), self.receivers.get(source)
        is_refusing = link in self.cuts and self.loud_cuts.get(link) is CutKind.REFUSING
        if is_refusing and runtime is not None:
            runtime.receive("refused", target)

    def _has_loud_cut(self, source, target):
        return (source, target) in self.cuts and (source, target) in self.loud_cuts

    def hold_frames(self, source, target, end_time, release_event):
        """Delay the frames sent on a link before `end_time` until the event fires.

        This simulates a connection that stalls while datagrams and later connections pass.
        """
        self.held_links[source, target] = (end_time, release_event)

    def heal(self):
        """Heal every cut and stop loss, duplication, reordering, late delivery and stalls."""
        self.cuts.clear()
        self.loud_cuts.clear()
        self.held_links.clear()
        self.loss_share = self.duplicate_share = self.reorder_share = 0.0
        self.late_copy_share = self.late_share = 0.0

    def passes(self, source, target):
        """Return whether the link from one address to another is not cut."""
        return (source, target) not in self.cuts

    def delay(self):
        """Return the delay of one packet in seconds."""
        seconds = self.chance.uniform(self.min_delay_seconds, self.max_delay_seconds)
        if self.chance.random() < self.reorder_share:
            seconds += self.chance.uniform(0, 0.25)
        return seconds

    def carry(self, source, target, data, kind):
        """Carry a packet, which may be lost, duplicated, delivered late or delivered twice.

        A late packet or copy is delivered if the link is not cut at that time, to whichever process
        then has the address, because a relay or a socket buffer may delay a message that long.
        """
        self.carried_packets += 1
        is_frame, epoch = kind == "frame", self.connection_epochs.get((source, target), 0)
        if is_frame and self._has_loud_cut(source, target):
            self._answer_frame(source, target)
        elif is_frame:
            self.channels.setdefault(target, {})[source] = True
        if self._draw(self.late_copy_share):
            self._deliver_late(source, target, data, kind)
        if self._draw(self.late_share):
            self._deliver_late(source, target, data, kind)
            return
        if is_frame and self._hold_if_stalled(source, target, data):
            return
        if not self.passes(source, target) or self.chance.random() < self.loss_share:
            return
        copies = 2 if self.chance.random() < self.duplicate_share else 1
        for _ in range(copies):
            seconds = self._transmission_seconds(source, data) if is_frame else 0
            if seconds is None:
                return
            event = self.env.timeout(self.delay() + seconds)
            event.callbacks.append(lambda _: self._arrive(source, target, data, kind, epoch))

    def close_channels(self, target):
        """Close every connection to an address whose process ended, and accept no new ones there.

        The peers reconnect, and are refused unless the process has been restarted by then.
        """
        self.refusing_addresses.add(target)
        for source in self.channels.pop(target, {}):
            event = self.env.timeout(self.max_delay_seconds * 3)
            event.callbacks.append(lambda _, source=source: self._refuse(source, target))

    def _refuse(self, source, target):
        runtime, is_reply_link_open = self.receivers.get(source), self.passes(target, source)
        if (
            target in self.refusing_addresses
            and runtime is not None
            and is_reply_link_open
            and self.passes(source, target)
        ):
            runtime.receive("refused", target)

    def _draw(self, share):
        """Return true with the given probability; zero consumes no value of the generator."""
        return share > 0 and self.chance.random() < share

    def _hold_if_stalled(self, source, target, data):
        """Delay a frame if its link is stalled, until the release; return whether it is delayed."""
        end_time, release_event = self.held_links.get((source, target), (0, None))
        if self.env.now >= end_time or release_event.processed:
            return False
        epoch = self.connection_epochs.get((source, target), 0)
        release_event.callbacks.append(lambda _: self._arrive(source, target, data, "frame", epoch))
        return True

    def _deliver_late(self, source, target, data, kind):
        """Deliver a packet after a delay of up to `max_late_delay_seconds`."""
        self.late_packets += 1
        event = self.env.timeout(
            self.chance.uniform(self.max_delay_seconds, self.max_late_delay_seconds)
        )
        event.callbacks.append(lambda _: self._arrive(source, target, data, kind))

    def _transmission_seconds(self, source, data):
        """Return the seconds until a frame has passed the sender's uplink, including queueing.

        None if the uplink can't carry the frame within `max_frame_seconds`: the channel drops it,
        after the uplink was busy with it for that time.
        """
        self.largest_frame = max(self.largest_frame, len(data))
        if self.link_bytes_per_second is None:
            return 0
        frame_seconds = len(data) / self.link_bytes_per_second
        start_time = max(self.env.now, self.uplink_free_at.get(source, 0))
        self.uplink_free_at[source] = start_time + min(frame_seconds, self.max_frame_seconds)
        return (
            None
            if frame_seconds > self.max_frame_seconds
            else self.uplink_free_at[source] - self.env.now
        )

    def _arrive(self, source, target, data, kind, epoch=None):
        runtime = self.receivers.get(target)
        if kind == "frame" and epoch not in (None, self.connection_epochs.get((source, target), 0)):
            self.reset_frames += 1
            return
        if kind == "frame":
            self._refuse(source, target)
        if runtime is not None and self.passes(source, target):
            runtime.receive(kind, data)
