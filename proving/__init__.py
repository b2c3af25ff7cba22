"""Verification: fake callers and replicas, a simulator, failure scenarios and measurements."""
