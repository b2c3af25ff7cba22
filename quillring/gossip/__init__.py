"""Gossip of versioned updates: rumor mongering, with anti-entropy for missed updates."""

from quillring.gossip.gossip import Gossip

__all__ = ["Gossip"]
