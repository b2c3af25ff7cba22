"""Scenarios that provoke what must never happen."""
