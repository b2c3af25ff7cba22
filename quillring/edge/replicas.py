"""Replicas as the nodes see them: their beats, their silence, their stalls."""

import math
from urllib.parse import urlencode

from quillring.edge.heartbeat_relay import Liveness
from quillring.kernel.checks import StrictValidator
from quillring.kernel.errors import Conflict
from quillring.kernel.wsgi import check_body

NAME = {"type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,80}$"}
BEAT = StrictValidator(
    {
        "type": "object",
        "additionalProperties": False,
        "required": [
            "name",
            "service",
            "domain",
            "address",
            "slots",
            "state",
            "incarnation",
            "sequence",
        ],
        "properties": {
            "name": NAME,
            "service": {"type": "string", "maxLength": 80},
            "domain": NAME,
            "address": {"type": "string", "pattern": r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"},
            "slots": {"type": "integer", "minimum": 1, "maximum": 10_000},
            "busy": {"type": "integer", "minimum": 0},
            "state": {"enum": ["cold", "ready", "leaving", "gone"]},
            "incarnation": {"type": "integer", "minimum": 0},
            "sequence": {"type": "integer", "minimum": 0},
            "cold_ms": {"type": "number", "minimum": 0},
        },
    }
)
AWAY = ("leaving", "gone")
COLD_SLACK = 0.05


class Replica:
    """One replica as this node sees it.

    The first news of a replica may be old (a node that just joined gets all news at once); it
    counts as heard only from the second on.
    """

    __slots__ = (
        "name",
        "service",
        "zone",
        "address",
        "slots",
        "state",
        "incarnation",
        "sequence",
        "heard_at",
        "born_at",
        "in_flight",
        "stalled_until",
        "busy_until",
        "cold_until",
    )

    def __init__(self, beat, now, former=None):
        self.name = beat["name"]
        self.service = beat["service"]
        self.zone = beat["domain"]
        host, port = beat["address"].rsplit(":", 1)
        self.address = (host, int(port))
        self.slots = beat["slots"]
        self.state = beat["state"]
        self.incarnation = beat["incarnation"]
        self.sequence = beat["sequence"]
        self.cold_until = now + beat.get("cold_ms", 0) / 1000
        is_same = former is not None and former.incarnation == self.incarnation
        self.heard_at = now if former is not None else -math.inf
        self.born_at = former.born_at if is_same else now
        self.in_flight = former.in_flight if is_same else 0
        self.busy_until = former.busy_until if is_same else 0
        self.stalled_until = former.stalled_until if is_same else 0

    def is_over(self, beat):
        """Tell whether a beat would bring back a start of the replica that has left."""
        return (
            self.state in AWAY
            and beat["state"] not in AWAY
            and self.incarnation == beat["incarnation"]
        )

    def brings_nothing(self, beat, now):
        """Tell whether a beat is a mere sign of life: all else in it is known."""
        return (
            [self.incarnation, self.service, self.zone, self.state, self.slots]
            == [beat[name] for name in ("incarnation", "service", "domain", "state", "slots")]
            and "{}:{}".format(*self.address) == beat["address"]
            and now + beat.get("cold_ms", 0) / 1000 <= max(now, self.cold_until) + COLD_SLACK
        )

    def is_cold(self, now):
        """Tell whether the replica still warms up by its own last word."""
        return now < self.cold_until

    def path(self, path, **words):
        """Return the path of an inquiry meant for this very start of the replica."""
        return f"{path}?{urlencode({**words, 'incarnation': self.incarnation})}"

    def to_json(self, now):
        """Return the replica as operators see it."""
        return {
            "name": self.name,
            "service": self.service,
            "domain": self.zone,
            "address": f"{self.address[0]}:{self.address[1]}",
            "state": self.state,
            "slots": self.slots,
            "incarnation": self.incarnation,
            "in_flight_here": self.in_flight,
            "silent_s": round(min(now - self.heard_at, 1e6), 3),
        }


class Replicas:
    """The table of replicas, fed by beats that any node took and gossip passed on."""

    __slots__ = ("node", "table", "on_change", "table_version", "misdirected_names", "liveness")

    def __init__(self, node):
        self.node = node
        self.table = {}
        self.table_version = 0
        self.misdirected_names = frozenset()
        self.on_change = []
        self.liveness = Liveness(node)
        node.find("gossip").subscribe("replica/", self._on_news)

    def on_beat(self, beat):
        """Take a beat that reached this node; an older incarnation is refused."""
        check_body(BEAT, beat)
        known = self.table.get(beat["name"])
        if known is not None and known.incarnation > beat["incarnation"]:
            raise Conflict(field="incarnation", winning_incarnation=known.incarnation)
        version = [beat["incarnation"], beat["sequence"]]
        is_newer = known is None or version > [known.incarnation, known.sequence]
        if known is not None and known.brings_nothing(beat, self.node.now()):
            is_news = is_newer and not self.liveness.note(beat["name"], *version)
            self.renew(beat["name"], *version)
        else:
            is_news = is_newer and (known is None or not known.is_over(beat))
        key = f"replica/{beat['name']}"
        if is_news and self.node.find("gossip").publish(key, version, beat):
            for name in self.node.find("nifty").graph.routes:
                self.node.send_oneway(name, "gossip.news", [[key, version, beat]])
        return {"taken": True}

    def renew(self, name, incarnation, sequence):
        """Take a sign of life of a known start of a replica."""
        known = self.table.get(name)
        if known is None or known.incarnation != incarnation or known.sequence >= sequence:
            return
        was_heard = self.is_heard(name)
        known.sequence, known.heard_at = sequence, self.node.now()
        for listener in () if was_heard else self.on_change:
            listener()

    def _on_news(self, key, beat):
        former = self.table.get(beat["name"])
        if former is not None and former.is_over(beat):
            return
        replica = self.table[beat["name"]] = Replica(beat, self.node.now(), former)
        if former is None or (former.state, former.address, former.slots) != (
            replica.state,
            replica.address,
            replica.slots,
        ):
            self.table_version += 1
        for listener in self.on_change:
            listener()

    def find(self, name):
        """Return the replica of this name, or None."""
        return self.table.get(name)

    def is_heard(self, name):
        """Tell whether beats of the replica came in lately."""
        replica = self.table.get(name)
        return (
            replica is not None
            and self.node.now() - replica.heard_at < self.node.bounds.replica_timeout
        )

    def is_usable(self, replica):
        """Tell whether a replica is here to stay and heard of, in a domain that is not emptied."""
        return (
            replica.state not in AWAY
            and self.is_heard(replica.name)
            and not self.node.find("layout").is_emptied(replica.zone)
        )

    def may_be_sent(self, replica):
        """Tell whether a request may go out to this start of a replica, silent or not."""
        known = self.table.get(replica.name)
        return (
            known is not None
            and known.state not in AWAY
            and replica.name not in self.misdirected_names
            and not self.node.find("layout").is_emptied(replica.zone)
        )

    def note_misdirected(self, replica):
        """Note that another one answered at a replica's address: this one is gone for good."""
        self.misdirected_names = self.misdirected_names | {replica.name}
        self.table_version += 1

    def may_get_work(self, replica):
        """Tell whether a replica may get something new by all that this node knows."""
        return self.is_usable(replica) and self.node.now() >= replica.stalled_until

    def working(self, service):
        """Return the replicas of a service that may get something new."""
        return [r for r in self.hopeful(service, math.inf) if self.may_get_work(r)]

    def hopeful(self, service, end_time):
        """Return the replicas of a service that work, or may work again before a time."""
        return [
            replica
            for replica in self.table.values()
            if replica.service == service
            and self.is_usable(replica)
            and replica.stalled_until < end_time
        ]

    def busy(self, replica):
        """Keep new work for a moment from a replica that had no room left."""
        known = self.table.get(replica.name)
        if known is not None:
            known.busy_until = self.node.now() + self.node.bounds.gossip_interval

    def stalled(self, replica):
        """Keep new work from a replica that stalled or broke off, for one news bound."""
        known = self.table.get(replica.name)
        if known is not None and known.incarnation == replica.incarnation:
            known.stalled_until = self.node.now() + self.node.bounds.propagation
