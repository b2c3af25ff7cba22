"""Gossip of versioned updates: rumor mongering, with anti-entropy for what was missed."""

from quillring.gossip.gossip import Gossip

__all__ = ["Gossip"]
