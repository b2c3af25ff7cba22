"""Paxos acceptors of the parts: promises, accepted entries and applied state, stored on disk."""

from quillring.quorum.acceptor.acceptor import Acceptors
from quillring.quorum.acceptor.state import AcceptedEntry, AcceptorState

__all__ = ["AcceptedEntry", "AcceptorState", "Acceptors"]
