"""Duties cut by key over the live core nodes; a key changes hands under a fence."""

from quillring.duty.duty import Duty
from quillring.duty.rank import ranked_cores
from quillring.quorum.commands import QUERIES

__all__ = ["Duty", "QUERIES", "ranked_cores"]
