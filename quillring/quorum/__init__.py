"""Replicated state: Multi-Paxos, run independently for each part.

A part is a shard of the state. It has its own log, ballots and group; the group is the set of
stores that replicate the part. Stores are the acceptors (`acceptor`). Cores are the proposers: one
of them leads a part for a term (`leader`). Founding (`founding`) chooses the initial groups.
Source: Lamport, "Paxos made simple", 2001.
"""

from quillring.quorum.acceptor import Acceptors
from quillring.quorum.commands import COMMANDS, QUERIES, apply_batch
from quillring.quorum.leader.part_leader import PartLeader
from quillring.quorum.parts import CONFIG_PART, part_for_key, part_names

__all__ = [
    "Acceptors",
    "COMMANDS",
    "CONFIG_PART",
    "PartLeader",
    "QUERIES",
    "apply_batch",
    "part_names",
    "part_for_key",
]
