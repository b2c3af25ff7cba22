"""A request to forward: parsing of its metadata, and serialization for a replica."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from quillring.forward.header_names import HeaderNames

HOP_BY_HOP_HEADERS = frozenset(
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
"""Headers of one connection (RFC 9110, section 7.6.1), and headers that are generated again."""
BODILESS_METHODS = ("GET", "HEAD", "DELETE")
MAX_NUMBER_DIGITS = 15


class PromptPart(NamedTuple):
    """A part of a prompt that other requests may share, with its length in tokens."""

    name: str
    token_count: int


class TokenCounts(NamedTuple):
    """Number of prompt tokens and maximum number of output tokens; 0 if not given."""

    prompt: int
    max_output: int


class Request:
    """Method, target, host, headers and body as received, with the prompt metadata parsed.

    `prompt_parts` are in the order of the prompt; the last one is specific to this request.
    """

    __slots__ = (
        "method",
        "target",
        "host",
        "header_pairs",
        "body",
        "id",
        "prompt_parts",
        "prompt_tokens",
        "max_output_tokens",
        "last_event_id",
        "deadline_ms",
    )

    def __init__(
        self,
        header_names: HeaderNames,
        method: str,
        target: str,
        header_pairs: Sequence[tuple[str, str]],
        body: bytes,
    ) -> None:
        headers = {name.lower(): value for name, value in header_pairs}
        removed = hop_by_hop_headers(headers) | {
            header_names.replica,
            header_names.deadline,
            header_names.urgency,
            header_names.resume,
        }
        self.method = method
        self.target = target
        self.host = headers.get("host", "")
        self.header_pairs = [pair for pair in header_pairs if pair[0].lower() not in removed]
        self.body = body
        self.id = headers.get(header_names.request_id)
        self.prompt_parts = parse_prompt_parts(headers.get(header_names.chain, ""))
        self.prompt_tokens, self.max_output_tokens = parse_token_counts(
            headers.get(header_names.tokens, "")
        )
        self.last_event_id = parse_number(headers.get(header_names.resume))
        self.deadline_ms = parse_number(headers.get(header_names.deadline))

    def to_bytes(
        self,
        header_names: HeaderNames,
        replica_name: str,
        seconds_left: float,
        urgency: int | None,
        last_event_id: int | None,
    ) -> bytes:
        """Serialize the request as HTTP/1.1 for a replica; `seconds_left` becomes its deadline."""
        lines = [f"{self.method} {self.target} HTTP/1.1"]
        lines.extend(f"{name}: {value}" for name, value in self.header_pairs)
        lines.append(f"{header_names.replica}: {replica_name}")
        lines.append(f"{header_names.deadline}: {max(1, int(seconds_left * 1000))}")
        if urgency is not None:
            lines.append(f"{header_names.urgency}: {urgency}")
        if last_event_id is not None:
            lines.append(f"{header_names.resume}: {last_event_id}")
        if self.body or self.method not in BODILESS_METHODS:
            lines.append(f"Content-Length: {len(self.body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + self.body


def hop_by_hop_headers(headers: Mapping[str, str]) -> set[str] | frozenset[str]:
    """Return the names of headers not to forward, including those listed in `Connection`."""
    connection = headers.get("connection")
    if not connection:
        return HOP_BY_HOP_HEADERS
    return HOP_BY_HOP_HEADERS.union(name.strip().lower() for name in connection.split(","))


def parse_number(text: str | None) -> int | None:
    """Return the non-negative integer of a header value, or None if it is malformed."""
    text = (text or "").strip()
    return (
        int(text) if text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS else None
    )


def parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    """Parse prompt parts from `name:tokens, ...`; return an empty tuple for malformed text."""
    entries = [entry.strip().partition(":") for entry in text.split(",") if entry.strip()]
    if not all(name and count.isascii() and count.isdigit() for name, _, count in entries):
        return ()
    return tuple(PromptPart(name, int(count)) for name, _, count in entries)


def parse_token_counts(text: str) -> TokenCounts:
    """Parse `prompt tokens, maximum output tokens`; return 0 for a malformed count."""
    prompt, _, max_output = text.partition(",")
    return TokenCounts(parse_number(prompt) or 0, parse_number(max_output) or 0)
