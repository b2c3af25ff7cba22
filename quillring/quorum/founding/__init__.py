"""Founding (bootstrap): chooses the groups of all parts, once, at the first start of the fleet."""

from quillring.quorum.founding.bootstrap import found_at_first_start
from quillring.quorum.founding.founding import found_fleet

__all__ = ["found_at_first_start", "found_fleet"]
