"""Freshness: an edge admits new requests only while a majority of config stores confirms its state.

The majority is taken in the group that is part of the state the node has applied, at its log index
x: entry x + 1 is chosen by that group and committed at a majority of it before it is acknowledged.
Majorities intersect, so any majority of it includes a store that knows whatever was acknowledged
after x. Another group, older or newer, proves nothing: stores removed from it may not know later
entries, and stores that joined it may not know earlier ones.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import NotFounded, QuillringError, Refused
from quillring.kernel.records import NamedTuple
from quillring.quorum.parts import CONFIG_PART, majority
from quillring.rollout.messages import STAMP, STATE_IMAGE, StateImage, StoreStamp

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine
    from quillring.quorum.values import GroupMember

SILENT_HEARTBEATS = 1.5


class PolledStamp(NamedTuple):
    """A stamp that a store replied with, and when it was requested, in seconds of this node."""

    stamp: StoreStamp
    asked_at: float


class StoreReport(NamedTuple):
    """The newest confirmation by a config store, and the highest index it then knew as committed.

    `confirmed_at` is when the heartbeat it echoed or the request it answered was sent, in seconds
    of this node; None if nothing was received under the present identity of the store's disk.
    """

    name: str
    confirmed_at: float | None
    committed_index: int


class Freshness:
    """Decides whether this node's configuration is fresh enough, by its own clock.

    It owns the stamps polled from config stores; those in heartbeats are owned by the peer layer.
    """

    __slots__ = ("node", "polled_stamps")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.polled_stamps: dict[str, PolledStamp] = {}
        node.handle(STAMP, self.on_stamp)

    def on_stamp(self, body: Any, origin: str) -> list[Any] | None:
        """Return this store's stamp to a node that receives no heartbeats from it."""
        stamp: list[Any] | None = self.node.find("nifty").stamp_source()
        return stamp

    def _known_stores(self) -> list[GroupMember]:
        """Return the stores of the newest known group and of the group in the snapshot's state.

        Raises NotFounded if the founding configuration of the parts is not known here.
        """
        heard_group = self.node.find("ownership").group(CONFIG_PART)
        own_group = self.node.find("layout").group or ()
        return [*own_group, *(store for store in heard_group if store not in own_group)]

    def _reports(self, stores: Iterable[GroupMember]) -> list[StoreReport]:
        """Return the newest report of each of the config stores."""
        peer_states = self.node.find("nifty").peer_states
        reports = []
        for name, identity, _ in stores:
            confirmed_at, committed_index = None, 0
            polled = self.polled_stamps.get(name)
            if polled is not None and polled.stamp.identity == identity:
                confirmed_at, committed_index = polled.asked_at, polled.stamp.committed_index
            peer_state = peer_states.get(name)
            if (
                peer_state is not None
                and peer_state.stamp is not None
                and peer_state.echoed_at is not None
            ):
                stamp = StoreStamp.from_wire(peer_state.stamp)
                newest = (peer_state.echoed_at, stamp.committed_index)
                is_newer = confirmed_at is None or newest > (confirmed_at, committed_index)
                if stamp.identity == identity and is_newer:
                    confirmed_at, committed_index = newest
            reports.append(StoreReport(name, confirmed_at, committed_index))
        return reports

    def is_fresh(self) -> bool:
        """Return True if a majority confirmed, within the bound, that nothing newer is committed.

        The bound is `bounds.configuration_freshness`, in seconds.
        """
        snapshot = self.node.find("layout")
        if snapshot.configuration is None or not snapshot.group:
            return False
        oldest_time = self.node.now() - self.node.bounds.configuration_freshness
        good_count = 0
        for _, confirmed_at, committed_index in self._reports(snapshot.group):
            is_recent = confirmed_at is not None and confirmed_at > oldest_time
            if is_recent and committed_index <= snapshot.index:
                good_count += 1
        return good_count >= majority(snapshot.group)

    def check(self) -> None:
        """Raise Refused unless the configuration is fresh."""
        if not self.is_fresh():
            raise Refused(reason="no fresh word of the layout")

    def run(self) -> Coroutine:
        """Poll silent stores over relays, and concurrently fetch a newer configuration."""
        self.node.spawn(self._keep_fetching())
        while True:
            yield Sleep(self.node.bounds.heartbeat_interval / 2)
            try:
                reports = self._reports(self._known_stores())
            except NotFounded:
                continue
            yield from self._poll_silent(reports)

    def _keep_fetching(self) -> Coroutine:
        while True:
            yield Sleep(self.node.bounds.gossip_interval * 2)
            try:
                yield from self._fetch_newer()
            except NotFounded:
                continue

    def _poll_silent(self, reports: list[StoreReport]) -> Coroutine:
        """Poll the stores without a confirmation for SILENT_HEARTBEATS heartbeat intervals."""
        asked_at, interval = self.node.now(), self.node.bounds.heartbeat_interval
        oldest_time = asked_at - interval * SILENT_HEARTBEATS
        silent_names = [
            report.name
            for report in reports
            if report.confirmed_at is None or report.confirmed_at < oldest_time
        ]
        if not silent_names:
            return
        calls: list[tuple[str, str, Any]] = [(name, STAMP, None) for name in silent_names]
        replies = yield from self.node.gather(calls, len(calls), interval)
        new_stamps = {
            name: PolledStamp(StoreStamp.from_wire(fields), asked_at)
            for name, fields in replies.items()
            if fields is not None and not isinstance(fields, QuillringError)
        }
        self.polled_stamps = {**self.polled_stamps, **new_stamps}

    def _fetch_newer(self) -> Coroutine:
        """Fetch the config state from stores that know a newer one, the highest index first."""
        snapshot = self.node.find("layout")
        newer_states = sorted(
            (
                (report.committed_index, report.name)
                for report in self._reports(self._known_stores())
                if report.committed_index > snapshot.index
                or (snapshot.configuration is None and report.committed_index)
            ),
            reverse=True,
        )
        seconds = self.node.bounds.heartbeat_interval / 2
        for wanted_index, name in newer_states:
            if snapshot.index >= wanted_index and snapshot.configuration is not None:
                return
            try:
                reply = yield from self.node.call(name, STATE_IMAGE, {"part": CONFIG_PART}, seconds)
                image = StateImage.from_wire(reply)
                snapshot.update(image.log_index, image.state)
            except QuillringError:
                continue
