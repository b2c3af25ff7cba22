"""Configurable names of the HTTP headers exchanged with clients and replicas."""

from __future__ import annotations

DEFAULT_HEADER_NAMES = {
    "request_id": "x-inquiry",
    "replica": "x-replica-named",
    "seal": "x-seal",
    "not_run": "x-not-run",
    "deadline": "x-deadline-ms",
    "chain": "x-prompt-chain",
    "tokens": "x-token-count",
    "urgency": "x-urgency",
    "resume": "last-event-id",
}


class HeaderNames:
    """Header names in lower case; an omitted name has its default."""

    __slots__ = tuple(DEFAULT_HEADER_NAMES)

    request_id: str
    replica: str
    seal: str
    not_run: str
    deadline: str
    chain: str
    tokens: str
    urgency: str
    resume: str

    def __init__(self, **names: str) -> None:
        for field, default_name in DEFAULT_HEADER_NAMES.items():
            setattr(self, field, names.get(field, default_name).lower())
