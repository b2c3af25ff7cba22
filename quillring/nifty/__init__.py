"""The peer layer of every node: heartbeats, connectivity graph, routes, relays, bridges."""

from quillring.kernel.member import Member
from quillring.nifty.graph import Graph
from quillring.nifty.nifty import Nifty

__all__ = ["Graph", "Member", "Nifty"]
