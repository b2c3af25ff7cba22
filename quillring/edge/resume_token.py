"""Resume tokens: signed with the fleet's secret, bound to one client, ending in time."""

from __future__ import annotations

import base64
import hashlib
import hmac
from typing import TYPE_CHECKING

import cbor2

from quillring.edge.journal_messages import Term
from quillring.kernel.errors import QuillringError
from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from quillring.edge.journaled_stream import JournaledStream

LIFETIME_SECONDS = 600
SIGNATURE_BYTES = 16
NAME_LENGTH_BYTES = 4


class BadToken(QuillringError):
    """The resume token is not valid for this client; nothing more is disclosed."""

    kind = "bad_token"
    status = 403


class ResumeToken(NamedTuple):
    """The stream that a token is for, and the term that it was served in."""

    stream_name: str
    term: Term


def make_token(secret: bytes, stream: JournaledStream, now: float) -> str:
    """Return the token under which the stream's client may resume it."""
    body = cbor2.dumps([stream.name, list(stream.term), int(now) + LIFETIME_SECONDS])
    signature = _sign(secret, stream.client_name, body)
    return base64.urlsafe_b64encode(signature + body).decode().rstrip("=")


def read_token(secret: bytes, token: str, client_name: str, now: float) -> ResumeToken:
    """Return what a token says; BadToken where it is forged, another client's or too old."""
    try:
        data = base64.urlsafe_b64decode(token + "=" * (-len(token) % 4))
        signature, body = data[:SIGNATURE_BYTES], data[SIGNATURE_BYTES:]
        if not hmac.compare_digest(signature, _sign(secret, client_name, body)):
            raise BadToken()
        stream_name, term, end_time = cbor2.loads(body)
    except (ValueError, TypeError, cbor2.CBORError) as error:
        raise BadToken() from error
    if now > end_time:
        raise BadToken()
    return ResumeToken(stream_name, Term.from_wire(term))


def _sign(secret: bytes, client_name: str, body: bytes) -> bytes:
    """Return the MAC of a token's body; the name's length keeps name and body apart."""
    encoded_name = client_name.encode()
    message = len(encoded_name).to_bytes(NAME_LENGTH_BYTES, "big") + encoded_name + body
    return hmac.new(secret, message, hashlib.sha256).digest()[:SIGNATURE_BYTES]
