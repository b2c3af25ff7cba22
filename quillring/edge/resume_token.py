"""Resume tokens: signed with the fleet's secret, bound to one sender, ending in time."""

import base64
import hashlib
import hmac

import cbor2

from quillring.kernel.errors import QuillringError

LIFE_SECONDS = 600


class BadToken(QuillringError):
    """The resume token is not valid for this sender; nothing more is disclosed."""

    kind = "bad_token"
    status = 403


def make_token(secret, stream, now):
    """Return the token under which the stream's sender may resume it."""
    body = cbor2.dumps([stream.name, list(stream.term), int(now) + LIFE_SECONDS])
    signature = _sign(secret, stream.client_name, body)
    return base64.urlsafe_b64encode(signature + body).decode().rstrip("=")


def read_token(secret, token, client_name, now):
    """Return the stream's name and the round it was served in, or raise BadToken."""
    try:
        data = base64.urlsafe_b64decode(token + "=" * (-len(token) % 4))
        signature, body = data[:16], data[16:]
        if not hmac.compare_digest(signature, _sign(secret, client_name, body)):
            raise BadToken()
        name, served_term, end_time = cbor2.loads(body)
    except (ValueError, TypeError, cbor2.CBORError) as error:
        raise BadToken() from error
    if now > end_time:
        raise BadToken()
    return name, tuple(served_term)


def _sign(secret, client_name, body):
    message = len(client_name.encode()).to_bytes(4, "big") + client_name.encode() + body
    return hmac.new(secret, message, hashlib.sha256).digest()[:16]
