"""Ownership of parts, cut by key over the live core nodes; a part changes hands under a ballot."""

from quillring.ownership.ownership import Ownership
from quillring.ownership.rank import ranked_cores
from quillring.quorum.commands import QUERIES

__all__ = ["Ownership", "QUERIES", "ranked_cores"]
