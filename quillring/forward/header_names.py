"""The header names under which an inquiry's id, its replica, its seal and so on travel."""

FIELDS = {
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


class Dialect:
    """Header names, lower case; the product has its own, an outside system gives its own."""

    __slots__ = tuple(FIELDS)

    def __init__(self, **names):
        for field, own_name in FIELDS.items():
            setattr(self, field, names.get(field, own_name).lower())
