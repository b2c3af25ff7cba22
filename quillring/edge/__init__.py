"""Serving of the native client API: replica table, dispatcher, stream journal, resume tokens."""

from quillring.edge.dispatcher import Dispatcher
from quillring.edge.journal import Journal
from quillring.edge.replicas import ReplicaTable

__all__ = ["Dispatcher", "Journal", "ReplicaTable"]
