"""Resume tokens: authenticated with the fleet's secret, bound to a client, and short-lived."""

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

TOKEN_LIFETIME_SECONDS = 600
SIGNATURE_BYTES = 16
NAME_LENGTH_BYTES = 4


class BadToken(QuillringError):
    """The resume token is not valid for this client; the reason is not disclosed."""

    kind = "bad_token"
    status = 403


class ResumeToken(NamedTuple):
    """The content of a token: the stream, and the term under which the client was served."""

    stream_name: str
    term: Term


def make_token(secret: bytes, stream: JournaledStream, now: float) -> str:
    """Return a token with which the client may resume the stream for TOKEN_LIFETIME_SECONDS."""
    body = cbor2.dumps([stream.name, list(stream.term), int(now) + TOKEN_LIFETIME_SECONDS])
    signature = _sign(secret, stream.client_name, body)
    return base64.urlsafe_b64encode(signature + body).decode().rstrip("=")


def read_token(secret: bytes, token: str, client_name: str, now: float) -> ResumeToken:
    """Return the content of a token; raise BadToken if it is invalid or expired.

    A token of another client is invalid.
    """
    try:
        data = base64.urlsafe_b64decode(token + "=" * (-len(token) % 4))
        signature, body = data[:SIGNATURE_BYTES], data[SIGNATURE_BYTES:]
        if not hmac.compare_digest(signature, _sign(secret, client_name, body)):
            raise BadToken()
        stream_name, term, expires_at = cbor2.loads(body)
    except (ValueError, TypeError, cbor2.CBORError) as error:
        raise BadToken() from error
    if now > expires_at:
        raise BadToken()
    return ResumeToken(stream_name, Term.from_wire(term))


def _sign(secret: bytes, client_name: str, body: bytes) -> bytes:
    """Return the truncated HMAC-SHA-256 (RFC 2104) of the body and the length-prefixed name."""
    encoded_name = client_name.encode()
    message = len(encoded_name).to_bytes(NAME_LENGTH_BYTES, "big") + encoded_name + body
    return hmac.new(secret, message, hashlib.sha256).digest()[:SIGNATURE_BYTES]
