"""Histories of operators' and clients' calls, checked for linearizability."""
