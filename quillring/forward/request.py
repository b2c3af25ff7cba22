"""One request to be forwarded, and the bytes in which it goes to a replica."""

OF_ONE_CONNECTION = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)


class Request:
    """Method, target, host, header pairs and body as they came, and what they say of the prompt.

    `chain` is ((part id, tokens), ...) in order; the last part is the request's own.
    """

    __slots__ = (
        "method",
        "target",
        "host",
        "pairs",
        "body",
        "id",
        "chain",
        "tokens_in",
        "tokens_out",
        "last_event",
        "deadline_ms",
    )

    def __init__(self, dialect, method, target, pairs, body):
        headers = {name.lower(): value for name, value in pairs}
        named = {
            word.strip().lower() for word in headers.get("connection", "").split(",")
        } | OF_ONE_CONNECTION
        own = {dialect.replica, dialect.deadline, dialect.urgency, dialect.resume}
        self.method = method
        self.target = target
        self.host = headers.get("host", "")
        self.pairs = [(n, v) for n, v in pairs if n.lower() not in named and n.lower() not in own]
        self.body = body
        self.id = headers.get(dialect.request_id)
        self.chain = read_chain(headers.get(dialect.chain, ""))
        self.tokens_in, self.tokens_out = read_tokens(headers.get(dialect.tokens, ""))
        self.last_event = read_number(headers.get(dialect.resume))
        self.deadline_ms = read_number(headers.get(dialect.deadline))

    def to_bytes(self, dialect, replica_name, seconds_left, urgency, last_event):
        """Return the request for one replica."""
        lines = [f"{self.method} {self.target} HTTP/1.1"]
        lines.extend(f"{name}: {value}" for name, value in self.pairs)
        lines.append(f"{dialect.replica}: {replica_name}")
        lines.append(f"{dialect.deadline}: {max(1, int(seconds_left * 1000))}")
        if urgency is not None:
            lines.append(f"{dialect.urgency}: {urgency}")
        if last_event is not None:
            lines.append(f"{dialect.resume}: {last_event}")
        if self.body or self.method not in ("GET", "HEAD", "DELETE"):
            lines.append(f"Content-Length: {len(self.body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + self.body


def read_number(text):
    """Return the whole number a header gives, or None."""
    text = (text or "").strip()
    return int(text) if text.isascii() and text.isdigit() and len(text) < 16 else None


def read_chain(text):
    """Return ((part id, tokens), ...); whatever is malformed gives an empty chain."""
    parts = [word.strip().partition(":") for word in text.split(",") if word.strip()]
    if not all(name and count.isascii() and count.isdigit() for name, _, count in parts):
        return ()
    return tuple((name, int(count)) for name, _, count in parts)


def read_tokens(text):
    """Return (tokens in, most tokens out); 0 where nothing is said."""
    tokens_in, _, tokens_out = text.partition(",")
    return read_number(tokens_in) or 0, read_number(tokens_out) or 0


def answer_pairs(headers):
    """Return the header pairs of a replica's answer that are passed on."""
    named = {
        word.strip().lower() for word in headers.get("connection", "").split(",")
    } | OF_ONE_CONNECTION
    return [(name, value) for name, value in headers.items() if name not in named]
