"""Weights of the load balancer's cost function, and switches for its mechanisms.

A request goes to the candidate replica with the lowest cost. The unit of cost is one request that
is certain to be late. The expected time to first token enters squared, as a fraction of its goal,
because a request that is well in time gains little from a faster replica. It also enters linearly
with a small weight, because saved work is capacity for other requests. Pauses of other streams
enter by the probability of missing the gap goal, because a pause that stays within the goal, or
exceeds it at every replica, makes little difference.
"""

from __future__ import annotations

from quillring.kernel.records import NamedTuple


class PlacementPolicy(NamedTuple):
    """Inputs that the load balancer takes into account, and their weights.

    Parameters
    ----------
    shares_load
        Nodes of a zone report their requests in flight and their long prompts to each other.
    tracks_prefixes
        Long prompt prefixes believed to be cached at a replica do not count as tokens to process.
    predicts_wait
        The expected time to first token is part of the cost; otherwise only occupancy, zone and
        the random cost are.
    wait_cost
        Weight of the linear term of the expected time to first token.
    other_zone_cost, other_zone_cost_per_kilobyte
        Cost of a replica in another zone than this node, and its increase per kilobyte of the
        request body.
    interruption_cost
        Cost of each request in flight whose events pause for too long while the replica processes
        this prompt, as replicas alternate between decoding and processing prompts.
    separation_cost
        Cost of a replica at the opposite end of its zone's order from the one that suits the prompt
        size. Short prompts prefer the first replicas, and prompts that interrupt streams the last
        ones. This is size-interval task assignment (Harchol-Balter, Crovella and Murta, 1999) as a
        preference instead of a strict rule.
    occupancy_cost
        Cost of a replica with all slots in use; proportional to the share in use.
    random_cost
        Upper bound of a random cost, which makes nodes with equal information choose different
        replicas.
    min_prefix_tokens
        Shortest shared prompt part, in tokens, that is tracked.
    min_reported_tokens
        Prompts with at least this many tokens to process are reported to the zone immediately.
    cache_share
        Share of a replica's KV cache that long shared prefixes are expected to fill.
    """

    shares_load: bool = True
    tracks_prefixes: bool = True
    predicts_wait: bool = True
    wait_cost: float = 0.25
    other_zone_cost: float = 0.1
    other_zone_cost_per_kilobyte: float = 0.001
    interruption_cost: float = 0.2
    separation_cost: float = 0.12
    occupancy_cost: float = 0.2
    random_cost: float = 0.03
    min_prefix_tokens: int = 2048
    min_reported_tokens: int = 4096
    cache_share: float = 0.7


DEFAULT_POLICY = PlacementPolicy()
