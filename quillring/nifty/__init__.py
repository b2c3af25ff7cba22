"""The peer layer of a node: heartbeats, connectivity graph, routing, relaying, bridge nodes."""

from quillring.kernel.member import Member
from quillring.nifty.graph import Graph
from quillring.nifty.nifty import Nifty

__all__ = ["Graph", "Member", "Nifty"]
