"""Lots (batch jobs): accepted once durable in two zones, every item gets one result.

`prompts` holds the lots of the own interface, `http_requests` those of requests to forward.
"""
