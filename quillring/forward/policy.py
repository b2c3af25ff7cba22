"""The constants that decide where a request is sent, and the switches of the mechanisms.

Costs are compared between the replicas that could take a request, and the lowest one wins. The unit
of cost is one request that is late for certain. The expected time to first token enters by the
probability of being late, as a request that is in time (or late) either way gains little from a
faster replica. A small part of it enters linearly, as work that is saved is capacity for others.
"""

from __future__ import annotations

from quillring.kernel.records import NamedTuple


class PlacementPolicy(NamedTuple):
    """What the load balancer takes into account, and how much of it.

    Parameters
    ----------
    shares_load
        Nodes of a zone report their requests in flight and their long prompts to each other.
    tracks_prefixes
        Replicas that are believed to have a long prompt prefix cached need not process it again.
    predicts_wait
        The expected time to first token counts; otherwise only the requests in flight do.
    wait_cost
        Weight of the expected time to first token where it enters linearly.
    other_zone_cost, other_zone_cost_per_kilobyte
        Cost of a replica in another zone than the node's, and for each kilobyte of the request.
    interruption_cost
        Cost of each request in flight whose events pause for too long while a replica processes the
        prompt: replicas decode and process prompts in turns.
    separation_cost
        Cost of a replica at the other end of its zone's order than the size of the prompt asks for.
        Short prompts prefer the first replicas and prompts that interrupt streams the last ones, as
        in size-interval task assignment (Harchol-Balter, Crovella and Murta, 1999), but softly.
    occupancy_cost
        Cost of a replica all of whose slots are taken.
    random_cost
        Largest random cost; nodes that know the same then choose different replicas.
    min_prefix_tokens
        Shared prompt parts of at least so many tokens are tracked.
    min_reported_tokens
        Prompts with at least so many tokens to process are reported to the zone at once.
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
