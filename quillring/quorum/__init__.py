"""State replicated by Multi-Paxos, in parts with a group, ballots, log and membership each."""

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
