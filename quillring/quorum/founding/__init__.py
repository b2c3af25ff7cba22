"""Founding (bootstrap): the groups of all parts are chosen once, at the fleet's first start."""

from quillring.quorum.founding.bootstrap import found_at_first_start
from quillring.quorum.founding.founding import found_fleet

__all__ = ["found_at_first_start", "found_fleet"]
