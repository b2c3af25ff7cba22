"""Serving inquiries: replicas, dispatch, the stream journal, resume tokens."""

from quillring.edge.dispatch import Dispatch
from quillring.edge.journal import Journal
from quillring.edge.replicas import ReplicaTable

__all__ = ["Dispatch", "Journal", "ReplicaTable"]
