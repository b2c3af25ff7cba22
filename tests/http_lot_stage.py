"""A small simulated fleet with a forward for lots of HTTP requests, and raw replicas."""

from unittest import mock

from proving.points.scenario_fleet import SMALL_FLEET
from proving.sim import fleet as sim_fleet
from proving.sim.fleet import SimFleet
from quillring.lots.http_requests import api
from quillring.lots.http_requests.lot_placement import lot_key, normalized_host
from quillring.lots.http_requests.lot_table import lot_records
from quillring.lots.http_requests.token_reservations import reserved_tokens
from quillring.nifty.wire import SUPPORTED_VERSIONS
from quillring.quorum.parts import part_for_key
from tests.http_lot_replica import SERVICE, RawBackends, RawReplica, RawRuntime, text_of

HOST, FORWARD = "Lots.example", "bulk"
SIZES = {**SMALL_FLEET, "replicas": [("words", 1, 4), ("map", 1, 4)]}


def check_complete_results(stage, rows, name, count):
    """Assert that each item of the lot is listed once, with its complete text."""
    assert sorted(row[0] for row in rows) == sorted(f"{name}-{n}" for n in range(count))
    for item_id, state, text in rows:
        assert (state, text) == ("finished", text_of(item_id, stage.counts.get(item_id, 6)))


def submit_accepted(stage, name, count, **options):
    """Submit a lot, assert that it is accepted, and return the answer."""
    answer, error = stage.submit(name, count, **options)
    assert error is None, error
    return answer


class HttpLotStage:
    """A small fleet with a forward for lots, set up and run until second 8 of simulated time.

    `counts` sets the number of events per item (default 6). `arrivals` records each request that
    reached a replica as (time, item, replica, last event id, request), `completed_runs` the items
    whose stream was sent to its end. Further keyword arguments replace settings of the forward.
    """

    def __init__(self, seed, slots=8, replicas=3, versions=SUPPORTED_VERSIONS, **fields):
        with mock.patch.object(sim_fleet, "SimRuntime", RawRuntime):
            self.sim = SimFleet("ferrowa", seed, SIZES)
        self.env, self.replicas, self.counts = self.sim.env, {}, {}
        self.arrivals, self.completed_runs = [], []
        self.sim.backends.raw = RawBackends(self)
        self.configuration_version, self.patch = (
            0,
            mock.patch.object(sim_fleet, "SimRuntime", RawRuntime),
        )
        self.patch.start()
        self.sim.versions = dict.fromkeys(self.sim.rows, versions)
        self.sim.start_all()
        zones = sorted({node.me.zone for node in self.sim.nodes.values()})
        for number in range(replicas):
            name = f"i-{number}"
            zone = zones[number % len(zones)]
            self.replicas[name] = RawReplica(self, name, zone, slots)
        self.env.process(self.sim.found())
        self.env.run(until=6)
        names = self.pick_running("core").find("ownership").parts()
        self.parts = [part for part in names if part != "config"]
        self.configure(**fields)
        self.run(2)

    def __enter__(self):
        return self

    def __exit__(self, *failure):
        self.patch.stop()

    def configure(self, is_removed=False, **fields):
        """Adopt a configuration with the forward for lots, or without it if `is_removed`."""
        forward = {
            "host": HOST,
            "prefix": "/bulk/",
            "kind": "lot",
            "split": [[SERVICE, 1]],
            "rounds": 3,
            "goal_ms": 400,
            "due_ms": 8000,
            "retain_ms": 40_000,
            "most_tokens": 0,
            **fields,
        }
        service = {"kind": "raw", "warm_rate": 10, "warm_up_ms": 0, "engine": {"slots": 8}}
        command = {
            "do": "edition.adopt",
            "id": f"e{self.configuration_version + 1}",
            "edition": self.configuration_version + 1,
            "base_edition": self.configuration_version,
            "whole": False,
            "services": {SERVICE: service},
            "forwards": {} if is_removed else {FORWARD: forward},
            "limits": None,
            "removed": {"forwards": [FORWARD]} if is_removed else None,
            "extras": None,
        }
        self.configuration_version += 1
        value, error = self.run_on_node(
            self.pick_running("core"),
            lambda node: node.find("ownership").submit("config", command, 8),
        )
        assert error is None, error

    def run(self, seconds):
        """Advance the simulation by some seconds."""
        self.env.run(until=self.env.now + seconds)

    def pick_running(self, role):
        """Return a random running node of a role."""
        return self.sim.chance.choice(self.sim.up_nodes(role))

    def start_on_node(self, node, make_coroutine):
        """Start the coroutine `make_coroutine(node)` on a node; return its process."""
        return self.env.process(self.sim.run_coroutine(node, make_coroutine(node)))

    def run_on_node(self, node, make_coroutine, seconds=20):
        """Run `make_coroutine(node)` on a node; return (its value, None) or (None, its error)."""
        process = self.start_on_node(node, make_coroutine)
        self.env.run(until=process | self.env.timeout(seconds))
        assert process.triggered, (
            f"the coroutine on {node.me.name} did not end within {seconds} seconds"
        )
        return process.value

    def items(self, name, count, tokens=10, body=b"body"):
        """Return `count` items for a lot, each with the same body and cost in tokens."""
        return [
            [f"{name}-{n}", f"/bulk/{n}?q=1", [["Model", "m"]], body, tokens] for n in range(count)
        ]

    def submit(self, name, count, node=None, tokens=10):
        """Submit a lot through an edge; return (answer, error)."""
        items = self.items(name, count, tokens)
        return self.run_on_node(
            node or self.pick_running("edge"),
            lambda node: api.submit_lot(node, FORWARD, name, items),
        )

    def read(self, name, start=0, hold=0.0, node=None):
        """Read results through an edge, waiting up to `hold` seconds; return (answer, error)."""
        return self.run_on_node(
            node or self.pick_running("edge"),
            lambda node: api.read_results(node, HOST, name, start, hold),
        )

    def read_all(self, name, seconds=30):
        """Read until every item has a result; return the results."""
        end_time, answer = self.env.now + seconds, None
        while self.env.now < end_time:
            answer, error = self.read(name)
            if error is None and answer["next"] == answer["items"]:
                return answer["results"]
            self.run(0.2)
        raise AssertionError(f"lot {name} is incomplete after {seconds} seconds: {answer}, {error}")

    def upgrade(self, name):
        """Stop a node and start it under the newest version."""
        self.sim.kill(name)
        self.sim.versions = {**self.sim.versions, name: SUPPORTED_VERSIONS}
        self.run(0.2)
        self.sim.start(name)
        self.run(2)

    def submitting_as_previous_version(self):
        """Return a patch: edges submit to the host's part, as the previous version did."""
        return mock.patch.object(api, "are_lots_spread", lambda node: False)

    def part(self, name="a"):
        """Return the part that stores a lot."""
        return part_for_key(lot_key(HOST, name), len(self.parts))

    def home_part(self):
        """Return the host's part, which stores the token reservations of the forward."""
        return part_for_key(normalized_host(HOST), len(self.parts))

    def owner(self, name="a"):
        """Return the node that owns a lot's part."""
        return self.owner_of(self.part(name))

    def owner_of(self, part):
        """Return the node that owns a part."""
        return self.sim.nodes[
            self.pick_running("edge").find("gossip").get(f"owner/{part}")["owner"]
        ]

    def state_of(self, part):
        """Return the newest state of a part that any running core or store has applied."""
        cores, stores = self.sim.up_nodes("core"), self.sim.up_nodes("store")
        owners = [core.find("ownership").leaders.get(part) for core in cores]
        records = [store.find("acceptors").parts.get(part) for store in stores]
        known = [(o.index, o.state) for o in owners if o is not None and o.state is not None]
        known += [(r.applied, r.state) for r in records if r is not None and r.state is not None]
        return max(known, key=lambda row: row[0])[1]

    def token_totals(self):
        """Return (pending tokens in all parts, reserved tokens of the forward)."""
        lots = [lot for part in self.parts for lot in lot_records(self.state_of(part)).values()]
        reserved = reserved_tokens(self.state_of(self.home_part()), FORWARD)
        return sum(lot["tokens"] for lot in lots), reserved

    def counter_total(self, name):
        """Return the sum of a counter over all nodes."""
        return sum(node.counts.get(name, 0) for node in self.sim.nodes.values())
