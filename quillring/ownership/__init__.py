"""Leadership of parts: rendezvous hashing ranks the live cores, and a Paxos ballot elects one."""

from quillring.ownership.candidates import order_candidates
from quillring.ownership.ownership import Ownership
from quillring.quorum.commands import QUERIES

__all__ = ["Ownership", "QUERIES", "order_candidates"]
