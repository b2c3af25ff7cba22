"""Measures the cost of a node as a function of the number of members."""
