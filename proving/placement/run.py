"""One emulation of a shape under a policy, and its measurements."""

import math
import random
from collections import defaultdict
from statistics import quantiles
from typing import NamedTuple

import simpy

from proving.placement.engine import Engine, EngineRequest
from proving.placement.nodes import EmulatedFleet, EmulatedRequest
from quillring.forward.load_balancer import LatencyGoals
from quillring.forward.request import PromptPart

MAX_ATTEMPTS = 2
HEARTBEAT_SECONDS = 0.5
RETRY_DELAY_SECONDS = 0.02
GAP_GOAL_SECONDS = 0.3
PREFIX_SKEW = 0.3
WARM_UP_SECONDS = 2.0
"""Requests that arrive before this time are not measured."""


class Sample(NamedTuple):
    """One measured request; `first_token_seconds` is None if no token arrived."""

    name: str
    tokens: int
    first_token_seconds: float | None
    longest_gap_seconds: float
    goal: float
    gap_goal_seconds: float

    @property
    def met_goals(self):
        """Return whether the first token and the gaps between events met their goals."""
        is_first_token_in_time = (
            self.first_token_seconds is not None and self.first_token_seconds <= self.goal
        )
        return is_first_token_in_time and self.longest_gap_seconds <= self.gap_goal_seconds


class Completion(NamedTuple):
    """When the first token reached the node, and the longest gap between two events."""

    first_token_at: float
    longest_gap_seconds: float


class Result(NamedTuple):
    """The measurements of a run.

    Parameters
    ----------
    in_time
        Share of the requests that met their goals.
    worst_group, by_group
        The same share by class and size of the prompt, and its minimum.
    p50, p99
        Milliseconds to the first token, by class.
    reread_share
        Of the tokens in prompt parts that a replica had processed before, the share that it
        processed again, since they were not usable from its cache.
    mean_estimate_error
        Mean difference between the estimated and the actual requests at the chosen replica.
    """

    in_time: float
    worst_group: float
    by_group: dict
    p50: dict
    p99: dict
    reread_share: float
    megabytes_between_zones: float
    rejected_count: int
    messages: int
    mean_estimate_error: float


class Emulation:
    """One run of a shape under a policy, from a seed."""

    def __init__(self, shape, policy, seed):
        self.shape, self.policy = shape, policy
        self.random = random.Random(seed)
        self.env = simpy.Environment()
        self.fleet = EmulatedFleet(self.env, shape, policy, seed)
        self.engines, self.zone_by_replica = {}, {}
        self.samples, self.estimate_errors = [], []
        self.rate_factor = 1.0
        self.batch_items_in_flight = defaultdict(int)
        self.bodies = {cls.name: bytes(cls.body_bytes) for cls in shape.classes}
        self.parts_by_class = {cls.name: self._make_parts(cls) for cls in shape.classes}

    def _make_parts(self, cls):
        return [
            PromptPart(f"{cls.name}{n}", cls.shared_tokens.draw(self.random))
            for n in range(cls.shared_prefixes)
        ]

    def simulate(self):
        """Simulate the run and return its result."""
        self._start_replicas()
        self.env.process(self._send_heartbeats())
        edges = [name for name in self.fleet.members if name.startswith("edge")]
        cores = [name for name in self.fleet.members if name.startswith("core")]
        for cls in self.shape.classes:
            if cls.requests_per_second:
                senders = cores if cls.is_batch else edges
                self.env.process(self._generate_requests(cls, senders))
        for fault in self.shape.faults:
            self.env.process(self._inject_fault(fault))
        self.env.run(until=self.shape.seconds)
        return self._result()

    def _start_replicas(self):
        speeds = self.shape.engine.speeds
        for zone in range(self.shape.zones):
            for number in range(self.shape.replicas_per_zone):
                name = f"r{zone}-{number}"
                engine = Engine(self.env, self.shape.engine, speeds[number % len(speeds)], name)
                self.engines[name], self.zone_by_replica[name] = engine, f"z{zone}"
                self.env.process(engine.run())
                self.fleet.announce(name, f"z{zone}")

    def _send_heartbeats(self):
        sequence = 1
        while True:
            sequence += 1
            up_names = [name for name, engine in self.engines.items() if not engine.is_down]
            self.fleet.heartbeat(up_names, sequence)
            yield self.env.timeout(HEARTBEAT_SECONDS)

    def _generate_requests(self, cls, senders):
        while True:
            rate = cls.requests_per_second * (1.0 if cls.is_batch else self.rate_factor)
            yield self.env.timeout(self.random.expovariate(rate))
            sender = self.random.choice(senders)
            if sender not in self.fleet.lost_names:
                self.env.process(self._serve(cls, sender))

    def _draw_parts(self, cls):
        shared_parts = self.parts_by_class[cls.name]
        if not shared_parts:
            return ()
        return (
            shared_parts[int(len(shared_parts) * self.random.random() ** (1 / (1 - PREFIX_SKEW)))],
        )

    def _serve(self, cls, sender):
        """Simulate one request, with up to `MAX_ATTEMPTS` attempts, and record its sample."""
        parts = self._draw_parts(cls)
        own_part = PromptPart(f"own{self.random.getrandbits(40)}", cls.own_tokens.draw(self.random))
        tokens = own_part.token_count + sum(part.token_count for part in parts)
        request = EmulatedRequest((*parts, own_part), tokens, self.bodies[cls.name])
        output = cls.output_tokens.draw(self.random)
        arrived_at, avoided_names, completion = self.env.now, set(), None
        for _ in range(MAX_ATTEMPTS):
            replica = self._choose(cls, sender, request, avoided_names)
            if replica is None:
                break
            completion = yield from self._attempt(cls, sender, replica, request, output)
            if completion is not None:
                break
            avoided_names.add(replica.name)
            yield self.env.timeout(RETRY_DELAY_SECONDS)
        if arrived_at >= WARM_UP_SECONDS:
            seconds = None if completion is None else completion.first_token_at - arrived_at
            gap = 0.0 if completion is None else completion.longest_gap_seconds
            gap_goal_seconds = math.inf if cls.is_batch else GAP_GOAL_SECONDS
            self.samples.append(
                Sample(cls.name, tokens, seconds, gap, cls.goal_seconds, gap_goal_seconds)
            )

    def _choose(self, cls, sender, request, avoided_names):
        node = self.fleet.nodes[sender]
        if not cls.is_batch:
            return node.find("placement").choose(
                "s", request, avoided_names, goals=LatencyGoals(cls.goal_seconds, GAP_GOAL_SECONDS)
            )
        zone_replicas = [
            r
            for r in node.find("placement").replicas("s")
            if r.zone == node.me.zone and not self.engines[r.name].is_down
        ]
        return min(zone_replicas, key=lambda r: self.batch_items_in_flight[r.name], default=None)

    def _attempt(self, cls, sender, replica, request, output):
        """Send the request to one replica; return its completion, or None if the attempt failed."""
        node = self.fleet.nodes[sender]
        balancer, engine = node.find("placement"), self.engines[replica.name]
        actual_count = len(engine.running) + len(engine.prefilling) + len(engine.waiting)
        in_flight = balancer.start_request(replica, request, cls.is_batch)
        self.estimate_errors.append(abs(in_flight.estimate.in_flight - actual_count))
        delay = self.fleet.delay(node.me.zone, replica.zone)
        if node.me.zone != replica.zone:
            self.fleet.bytes_between_zones += cls.body_bytes
        self.batch_items_in_flight[replica.name] += cls.is_batch
        try:
            yield self.env.timeout(delay)
            first_token_event, end_event = self.env.event(), self.env.event()
            parts = [(part.name, part.token_count) for part in request.prompt_parts[:-1]]
            engine_request = EngineRequest(
                parts,
                request.prompt_tokens,
                output,
                first_token_event.succeed,
                _succeed_once(first_token_event, end_event),
            )
            if not engine.submit(engine_request):
                return None
            yield first_token_event | end_event
            if not first_token_event.triggered:
                balancer.record_failure(replica, is_certain=True)
                return None
            yield self.env.timeout(delay)
            in_flight.record_body_bytes(0)
            first_token_at = self.env.now
            yield end_event
            return Completion(first_token_at, engine_request.longest_gap_seconds)
        finally:
            in_flight.finish()
            self.batch_items_in_flight[replica.name] -= cls.is_batch

    def _inject_fault(self, fault):
        yield self.env.timeout(fault.at)
        count = round(len(self.engines) * fault.share)
        engines = self.random.sample(sorted(self.engines), count)
        if fault.kind == "burst":
            self.rate_factor = fault.factor
        if fault.kind == "edge_loss":
            edges = sorted(name for name in self.fleet.members if name.startswith("edge"))
            self.fleet.lost_names |= set(self.random.sample(edges, round(len(edges) * fault.share)))
        for name in engines:
            if fault.kind == "crash":
                self.engines[name].crash()
            if fault.kind == "slow":
                self.engines[name].slow_factor = fault.factor
        yield self.env.timeout(fault.seconds)
        self.rate_factor = 1.0
        self.fleet.lost_names = set()
        for name in engines:
            self.engines[name].slow_factor, self.engines[name].is_down = 1.0, False

    def _result(self):
        groups = _size_groups(self.samples)
        by_group = {
            name: sum(s.met_goals for s in rows) / len(rows) for name, rows in groups.items()
        }
        times = defaultdict(list)
        for sample in self.samples:
            if sample.first_token_seconds is not None:
                times[sample.name].append(sample.first_token_seconds * 1000)
        engines = self.engines.values()
        shared = sum(e.hit_tokens + e.reread_tokens for e in engines)
        return Result(
            in_time=sum(s.met_goals for s in self.samples) / max(1, len(self.samples)),
            worst_group=min(by_group.values(), default=1.0),
            by_group=by_group,
            p50={name: _percentile(values, 50) for name, values in times.items()},
            p99={name: _percentile(values, 99) for name, values in times.items()},
            reread_share=sum(e.reread_tokens for e in engines) / max(1, shared),
            megabytes_between_zones=self.fleet.bytes_between_zones / 1e6,
            rejected_count=sum(e.rejected_count for e in engines),
            messages=self.fleet.messages,
            mean_estimate_error=sum(self.estimate_errors) / max(1, len(self.estimate_errors)),
        )


def _percentile(values, percent):
    return quantiles(values, n=100)[percent - 1] if len(values) > 1 else values[0]


def _succeed_once(first_token_event, end_event):
    def on_end(at, is_completed):
        if not end_event.triggered:
            end_event.succeed(at)

    return on_end


def _size_groups(samples):
    """Return the samples by class, and for each class the largest 10 % and the next 20 %."""
    by_class = defaultdict(list)
    for sample in samples:
        by_class[sample.name].append(sample)
    groups = dict(by_class)
    for name, rows in by_class.items():
        ordered = sorted(rows, key=lambda sample: -sample.tokens)
        tenth = len(ordered) // 10
        if tenth >= 5:
            groups[f"{name}, largest tenth"] = ordered[:tenth]
            groups[f"{name}, fifth below"] = ordered[tenth : 3 * tenth]
    return groups
