"""Lots whose items are whole HTTP requests, forwarded to replicas as they came."""
