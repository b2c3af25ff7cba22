"""Lots (batch jobs): a lot is accepted once it is durable in two zones; each item gets one result.

`prompts` implements lots submitted over `/v1/lots`; `http_requests` implements lots of HTTP
requests that are forwarded to replicas.
"""
