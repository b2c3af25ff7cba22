"""Leadership of parts, cut by key over the live core nodes; it changes hands under a ballot."""

from quillring.ownership.candidates import order_candidates
from quillring.ownership.ownership import Ownership
from quillring.quorum.commands import QUERIES

__all__ = ["Ownership", "QUERIES", "order_candidates"]
