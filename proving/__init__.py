"""Proofs: stand-ins, simulator, scenarios of failure and measurements."""
