"""State replicated by Multi-Paxos, in parts with a group, ballots, log and membership each.

A part is a shard of the state; its group is the stores that replicate it. Stores are the acceptors
(`acceptor`); cores are the proposers, one of which leads a part in a term (`leader`). Founding
(`founding`) chooses the first groups. Source: Lamport, "Paxos made simple", 2001.
"""

from quillring.quorum.acceptor import Acceptors
from quillring.quorum.commands import COMMANDS, QUERIES, apply_batch
from quillring.quorum.leader.part_leader import PartLeader
from quillring.quorum.parts import CONFIG, part_names, part_of

__all__ = [
    "Acceptors",
    "COMMANDS",
    "CONFIG",
    "PartLeader",
    "QUERIES",
    "apply_batch",
    "part_names",
    "part_of",
]
