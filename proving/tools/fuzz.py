"""Bad input from a seed: HTTP inquiries, layouts, settings, datagrams, frames."""

import json
import socket

import cbor2

from quillring.kernel.settings import split_address
from quillring.nifty.wire import MAGIC

BODIES = {
    "/v1/inquiries": {"entry": "wayfinding", "prompt": "p", "max_pieces": 3, "time_left_ms": 900},
    "/v1/lots": {"entry": "gate-notices", "items": ["a"], "key": "k"},
    "/v1/seats": {"entry": "tiles", "key": "k", "seat": "4a"},
    "/v1/replicas/beats": {
        "name": "words-9",
        "service": "words",
        "domain": "north",
        "address": "127.0.0.1:9",
        "slots": 1,
        "state": "cold",
        "incarnation": 1,
        "sequence": 1,
    },
    "/v1/plans": {"kind": "empty_domain", "target": "north"},
    "/v1/plans/none/confirm": {"accept": ["x"], "id": "i"},
    "/v1/found": {"parts": 2},
    "/v1/layout": {"base_version": 0, "layout": {"entries": {}}, "whole": False, "id": "x"},
}
STRANGE = (
    None,
    True,
    False,
    -1,
    0,
    1.5,
    1e300,
    10**40,
    "",
    "\u0000",
    "\ud800",
    "x" * 300,
    [],
    [[]],
    {},
    {"a": None},
    ["x", 5],
    {"": {}},
    "-1",
    "\u00b2",
    2.0,
)
RAW = (
    b"NaN",
    b'{"entry": NaN}',
    b"[" * 5000,
    b'{"a":' * 3000,
    b"\xff\xfe\x00",
    b'"\xc3"',
    b"{",
    b"",
    b"1e999",
    b"9" * 5000,
    b'{"a":1}{',
    b"null",
    b"[]",
    b"true",
    b'"text"',
)
PATHS = (
    "/v1/tiles/tiles/%b2/1/1",
    "/v1/tiles/tiles/1/1/-1",
    "/v1/tiles/%00/1/1/1",
    "/v1/tiles/tiles/99999999999999999999/1/1",
    "/v1/streams/%ff%fe",
    "/v1/streams/AAAA",
    "/v1/streams/x?after=%b2",
    "/v1/streams/x?after=-1",
    "/v1/streams/x?before=1",
    "/v1/lots/part-0.x/results?from=x",
    "/v1/lots/part-0.x/results?from=" + "9" * 5000,
    "/v1/lots/%2e%2e",
    "/v1/lots/config.x",
    "/v1/lots/part-0.x?unknown=1",
    "/v1/lots/\u00e9",
    "/v1/layout?version=1",
    "/v1/members?x",
    "/v1/domains/nowhere/emptying",
    "/v1//layout",
    "/v1/plans/%00",
    "/v1/members/%ff",
    "/v1/alive/",
    "/" + "a" * 4000,
    "/v1/whole?part=x",
)
METHODS = ("GET", "POST", "PUT", "DELETE", "PATCH", "HEAD", "OPTIONS", "QUERY")


def mutate(chance, value):
    """Return a JSON value with one or two places made strange."""
    if not isinstance(value, dict) or not value or chance.random() < 0.15:
        return chance.choice(STRANGE)
    changed = dict(value)
    for _ in range(chance.randrange(1, 3)):
        name = chance.choice(sorted(value))
        kind = chance.randrange(4)
        if kind == 0:
            changed.pop(name, None)
        elif kind == 1:
            changed[chance.choice(("extra", "", "__class__", "entry\u0000"))] = 1
        elif kind == 2:
            changed[name] = mutate(chance, value[name])
        else:
            changed[name] = chance.choice(STRANGE)
    return changed


def http_case(chance):
    """Return (method, path, body bytes, body length told) of one bad inquiry."""
    kind = chance.randrange(5)
    path = chance.choice(sorted(BODIES))
    method = "PUT" if path == "/v1/layout" else "POST"
    body = json.dumps(mutate(chance, BODIES[path])).encode()
    if kind == 0:
        return chance.choice(METHODS), chance.choice(PATHS), b"", 0
    if kind == 1:
        method = chance.choice([m for m in METHODS if m not in (method, "GET")])
    if kind == 2:
        body = chance.choice(RAW)
    if kind == 3 and body:
        return method, path, body[: len(body) // 2], len(body)
    if kind == 4:
        path += chance.choice(("?x=1", "?", "?entry=%ff", "/", "//", "/%00"))
    return method, path, body, len(body)


def exchange(address, case, client_name="fuzz"):
    """Send one inquiry over a socket of its own; return (status, JSON answer or None)."""
    method, path, body, length = case
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: x\r\nX-Sender: {client_name}\r\nConnection: close\r\n"
        f"Content-Length: {length}\r\n\r\n"
    )
    with socket.create_connection(split_address(address), 20) as conn:
        conn.sendall(head.encode("utf-8") + body)
        conn.shutdown(socket.SHUT_WR)
        answer = conn.makefile("rb").read()
    top, _, rest = answer.partition(b"\r\n\r\n")
    status = int(top.split()[1]) if top else 0
    try:
        return status, json.loads(rest) if rest and method != "HEAD" else None
    except ValueError:
        return status, rest[:200]


def random_value(chance, depth=0):
    """Return a random cbor-able value."""
    kind = chance.randrange(9 if depth < 4 else 6)
    if kind < 6:
        return chance.choice(
            (
                None,
                True,
                -1,
                0,
                1 << 70,
                1.5,
                float("nan"),
                "",
                "core-1",
                "x" * 50,
                b"",
                b"\xff" * 9,
                chance.randrange(1 << 40),
            )
        )
    if kind < 8:
        return [random_value(chance, depth + 1) for _ in range(chance.randrange(8))]
    keys = ("s", "b", "r", "c", "part", "ballot", "round", "stream", "pieces", "from")
    return {chance.choice(keys): random_value(chance, depth + 1) for _ in range(4)}


def datagram_case(chance, sound):
    """Return garbage made of a sound datagram or frame, or of nothing."""
    kind = chance.randrange(5)
    if kind == 0:
        return chance.randbytes(chance.randrange(200))
    if kind == 1:
        return MAGIC + bytes([chance.randrange(5)]) + cbor2.dumps(random_value(chance))
    if kind == 2:
        return sound[: chance.randrange(len(sound))]
    fields = cbor2.loads(sound[3:])
    if kind == 3:
        fields[chance.randrange(len(fields))] = random_value(chance)
        return sound[:3] + cbor2.dumps(fields)
    flipped = bytearray(sound)
    flipped[chance.randrange(3, len(sound))] ^= 1 << chance.randrange(8)
    return bytes(flipped)
