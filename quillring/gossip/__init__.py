"""Versioned updates passed on to a few members; gaps are closed by anti-entropy."""

from quillring.gossip.gossip import Gossip

__all__ = ["Gossip"]
