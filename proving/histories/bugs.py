"""Seeded bugs."""


def find_all_bugs(first, jobs, echo):
    """Later."""
    return True
