"""News passed on to a few members; gaps are mended by comparing digests."""

from quillring.gossip.gossip import Gossip

__all__ = ["Gossip"]
