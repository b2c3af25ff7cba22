"""Freshness: an edge serves new work only on fresh word of a majority of config stores.

The majority is one of the group that stands in the very state the node holds, at its index x: entry
x + 1 is decided by that group and committed at a majority of it before it is acknowledged. So any
majority of it includes a store that knows of whatever was acknowledged after x. A group heard of
otherwise, older or newer, proves nothing: stores removed from it may not know what came later, and
stores that joined it may not know what came before.
"""

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import NotFounded, QuillringError, Refused
from quillring.quorum.parts import CONFIG, majority


class Freshness:
    """Judges how old the word of the config stores is, by this node's own clock."""

    __slots__ = ("node", "words")

    def __init__(self, node):
        self.node = node
        self.words = {}
        node.handle("quorum.stamp", self.on_stamp)

    def on_stamp(self, body, origin):
        """Give the stamp to a node that hears no heartbeats from this store."""
        return self.node.find("nifty").stamp_source()

    def _known_stores(self):
        """Return the stores of the newest group heard of, and of the one in the layout's state."""
        heard_group = self.node.find("ownership").group(CONFIG)
        own_group = self.node.find("layout").group or []
        return [*own_group, *(s for s in heard_group if list(s) not in map(list, own_group))]

    def _store_words(self, stores):
        """Yield (name, (time the word is from, index)) of each of the config stores."""
        nifty = self.node.find("nifty")
        for name, identity, _ in stores:
            words = [self.words[name]] if name in self.words else []
            heard = nifty.heard.get(name)
            if heard is not None and heard.stamp is not None and heard.echo_at is not None:
                words.append((heard.stamp, heard.echo_at))
            yield (
                name,
                max(
                    ((at, stamp[1]) for stamp, at in words if stamp[2] == identity),
                    default=(None, 0),
                ),
            )

    def is_fresh(self):
        """Tell whether a majority lately confirmed that no newer layout is committed."""
        snapshot = self.node.find("layout")
        if snapshot.configuration is None or not snapshot.group:
            return False
        store_words = list(self._store_words(snapshot.group))
        edge_time = self.node.now() - self.node.bounds.configuration_freshness
        good_count = sum(
            at is not None and at > edge_time and index <= snapshot.index
            for _, (at, index) in store_words
        )
        return good_count >= majority(store_words)

    def check(self):
        """Refuse new work honestly while the layout may be old."""
        if not self.is_fresh():
            raise Refused(reason="no fresh word of the layout")

    def run(self):
        """Ask silent stores over relays, and beside that fetch a layout that is newer."""
        self.node.spawn(self._keep_fetching())
        while True:
            yield Sleep(self.node.bounds.heartbeat_interval / 2)
            try:
                store_words = list(self._store_words(self._known_stores()))
            except NotFounded:
                continue
            yield from self._probe(store_words)

    def _keep_fetching(self):
        while True:
            yield Sleep(self.node.bounds.gossip_interval * 2)
            try:
                yield from self._fetch_newer()
            except NotFounded:
                continue

    def _probe(self, store_words):
        ask_time = self.node.now()
        silent_names = [
            name
            for name, (at, _) in store_words
            if at is None or at < ask_time - self.node.bounds.heartbeat_interval * 1.5
        ]
        if not silent_names:
            return
        calls = [(name, "quorum.stamp", None) for name in silent_names]
        replies = yield from self.node.gather(
            calls, len(calls), self.node.bounds.heartbeat_interval
        )
        good_words = {
            name: (stamp, ask_time)
            for name, stamp in replies.items()
            if stamp is not None and not isinstance(stamp, QuillringError)
        }
        self.words = {**self.words, **good_words}

    def _fetch_newer(self):
        snapshot = self.node.find("layout")
        newer_words = sorted(
            (
                (index, name)
                for name, (at, index) in self._store_words(self._known_stores())
                if index > snapshot.index or (snapshot.configuration is None and index)
            ),
            reverse=True,
        )
        for wanted_index, name in newer_words:
            if snapshot.index >= wanted_index and snapshot.configuration is not None:
                return
            try:
                index, state = yield from self.node.call(
                    name, "quorum.image", {"part": CONFIG}, self.node.bounds.heartbeat_interval / 2
                )
                snapshot.take(index, state)
            except QuillringError:
                continue
