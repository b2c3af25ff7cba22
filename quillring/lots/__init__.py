"""Lots (batch jobs): accepted once durable in two zones, every item gets one result.

`prompts` has lots submitted over `/v1/lots`, `http_requests` lots of HTTP requests to forward.
"""
