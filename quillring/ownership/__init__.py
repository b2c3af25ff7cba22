"""Leadership of parts: rendezvous hashing ranks the reachable cores, and Paxos elects a leader."""

from quillring.ownership.candidates import order_candidates
from quillring.ownership.ownership import Ownership
from quillring.quorum.commands import QUERIES

__all__ = ["Ownership", "QUERIES", "order_candidates"]
