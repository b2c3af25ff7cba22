"""Freshness: an edge admits new requests only while a majority of config stores confirms its state.

The majority is one of the group recorded in the state that the node has applied, at log index x.
Entry x + 1 is chosen by that group, and committed at a majority of it before it is acknowledged.
Majorities intersect, so any majority of the group includes a store that knows of entries that were
acknowledged after x. A majority of another group, older or newer, proves nothing: stores that were
removed may not know later entries, and stores that joined may not know earlier ones.
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

SILENT_HEARTBEAT_INTERVALS = 1.5


class PolledStamp(NamedTuple):
    """A stamp from a store's reply, and when it was requested, in seconds on this node's clock."""

    stamp: StoreStamp
    requested_at: float


class StoreReport(NamedTuple):
    """The newest confirmation by a config store, with the highest committed index it knew then.

    `confirmed_at` is when the heartbeat that it echoed or the request that it answered was sent, in
    seconds on this node's clock; None if nothing was received from the disk with this identity.
    """

    name: str
    confirmed_at: float | None
    committed_index: int


class Freshness:
    """Decides by this node's clock whether its configuration is fresh enough.

    `polled_stamps` are the stamps polled from config stores, by name. The stamps received in
    heartbeats are in the peer states of the peer layer.
    """

    __slots__ = ("node", "polled_stamps")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.polled_stamps: dict[str, PolledStamp] = {}
        node.handle(STAMP, self.on_stamp)

    def on_stamp(self, body: Any, origin: str) -> list[Any] | None:
        """Reply with this store's stamp to a node that receives no heartbeats from it."""
        stamp: list[Any] | None = self.node.find("nifty").stamp_source()
        return stamp

    def _known_stores(self) -> list[GroupMember]:
        """Return the config stores of the newest known group and of the snapshot's group.

        Raises NotFounded if the founding configuration of the parts is unknown to this node.
        """
        announced_group = self.node.find("ownership").group(CONFIG_PART)
        own_group = self.node.find("layout").group or ()
        return [*own_group, *(store for store in announced_group if store not in own_group)]

    def _reports(self, stores: Iterable[GroupMember]) -> list[StoreReport]:
        """Return the newest report of each of these config stores."""
        peer_states = self.node.find("nifty").peer_states
        reports = []
        for name, identity, _ in stores:
            confirmed_at, committed_index = None, 0
            polled = self.polled_stamps.get(name)
            if polled is not None and polled.stamp.identity == identity:
                confirmed_at, committed_index = polled.requested_at, polled.stamp.committed_index
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
        """Return whether a majority recently confirmed that no newer entry is committed.

        A confirmation is recent within `bounds.configuration_freshness` seconds.
        """
        snapshot = self.node.find("layout")
        if snapshot.configuration is None or not snapshot.group:
            return False
        oldest_time = self.node.now() - self.node.bounds.configuration_freshness
        confirming_count = 0
        for _, confirmed_at, committed_index in self._reports(snapshot.group):
            is_recent = confirmed_at is not None and confirmed_at > oldest_time
            if is_recent and committed_index <= snapshot.index:
                confirming_count += 1
        return confirming_count >= majority(snapshot.group)

    def check(self) -> None:
        """Raise Refused unless the configuration is fresh enough."""
        if not self.is_fresh():
            raise Refused(reason="no fresh word of the layout")

    def run(self) -> Coroutine:
        """Poll silent stores over relays; concurrently fetch newer configurations."""
        self.node.spawn(self._fetch_periodically())
        while True:
            yield Sleep(self.node.bounds.heartbeat_interval / 2)
            try:
                reports = self._reports(self._known_stores())
            except NotFounded:
                continue
            yield from self._poll_silent(reports)

    def _fetch_periodically(self) -> Coroutine:
        """Fetch newer configurations every two gossip intervals; never returns."""
        while True:
            yield Sleep(self.node.bounds.gossip_interval * 2)
            try:
                yield from self._fetch_newer()
            except NotFounded:
                continue

    def _poll_silent(self, reports: list[StoreReport]) -> Coroutine:
        """Poll the stores not confirmed within SILENT_HEARTBEAT_INTERVALS intervals."""
        requested_at, interval = self.node.now(), self.node.bounds.heartbeat_interval
        oldest_time = requested_at - interval * SILENT_HEARTBEAT_INTERVALS
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
            name: PolledStamp(StoreStamp.from_wire(fields), requested_at)
            for name, fields in replies.items()
            if fields is not None and not isinstance(fields, QuillringError)
        }
        self.polled_stamps = {**self.polled_stamps, **new_stamps}

    def _fetch_newer(self) -> Coroutine:
        """Fetch the config state from a store with a newer one, the highest index first."""
        snapshot = self.node.find("layout")
        stores_by_newest_index = sorted(
            (
                (report.committed_index, report.name)
                for report in self._reports(self._known_stores())
                if report.committed_index > snapshot.index
                or (snapshot.configuration is None and report.committed_index)
            ),
            reverse=True,
        )
        seconds = self.node.bounds.heartbeat_interval / 2
        for target_index, name in stores_by_newest_index:
            if snapshot.index >= target_index and snapshot.configuration is not None:
                return
            try:
                reply = yield from self.node.call(name, STATE_IMAGE, {"part": CONFIG_PART}, seconds)
                image = StateImage.from_wire(reply)
                snapshot.update(image.log_index, image.state)
            except QuillringError:
                continue
