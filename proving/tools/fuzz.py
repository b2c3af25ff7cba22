"""Seeded generators of invalid input: HTTP requests, JSON documents, datagrams and frames."""

import json
import socket

import cbor2

from quillring.kernel.settings import split_address
from quillring.nifty.wire import MAGIC

VALID_BODIES = {
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
INVALID_VALUES = (
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
INVALID_BODIES = (
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
INVALID_PATHS = (
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


def mutate(rng, value):
    """Return a copy of a JSON object with invalid fields, or an invalid value in its place."""
    if not isinstance(value, dict) or not value or rng.random() < 0.15:
        return rng.choice(INVALID_VALUES)
    mutated = dict(value)
    for _ in range(rng.randrange(1, 3)):
        name = rng.choice(sorted(value))
        kind = rng.randrange(4)
        if kind == 0:
            mutated.pop(name, None)
        elif kind == 1:
            mutated[rng.choice(("extra", "", "__class__", "entry\u0000"))] = 1
        elif kind == 2:
            mutated[name] = mutate(rng, value[name])
        else:
            mutated[name] = rng.choice(INVALID_VALUES)
    return mutated


def http_case(rng):
    """Return (method, path, body, Content-Length) of one invalid request."""
    kind = rng.randrange(5)
    path = rng.choice(sorted(VALID_BODIES))
    method = "PUT" if path == "/v1/layout" else "POST"
    body = json.dumps(mutate(rng, VALID_BODIES[path])).encode()
    if kind == 0:
        return rng.choice(METHODS), rng.choice(INVALID_PATHS), b"", 0
    if kind == 1:
        method = rng.choice([m for m in METHODS if m not in (method, "GET")])
    if kind == 2:
        body = rng.choice(INVALID_BODIES)
    if kind == 3 and body:
        return method, path, body[: len(body) // 2], len(body)
    if kind == 4:
        path += rng.choice(("?x=1", "?", "?entry=%ff", "/", "//", "/%00"))
    return method, path, body, len(body)


def exchange(address, case, client_name="fuzz"):
    """Send one request over a new socket; return (status, JSON body, its first bytes, or None)."""
    method, path, body, length = case
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: x\r\nX-Sender: {client_name}\r\nConnection: close\r\n"
        f"Content-Length: {length}\r\n\r\n"
    )
    with socket.create_connection(split_address(address), 20) as conn:
        conn.sendall(head.encode("utf-8") + body)
        conn.shutdown(socket.SHUT_WR)
        response = conn.makefile("rb").read()
    head_bytes, _, response_body = response.partition(b"\r\n\r\n")
    status = int(head_bytes.split()[1]) if head_bytes else 0
    try:
        return status, json.loads(response_body) if response_body and method != "HEAD" else None
    except ValueError:
        return status, response_body[:200]


def random_value(rng, depth=0):
    """Return a random value that CBOR can encode."""
    kind = rng.randrange(9 if depth < 4 else 6)
    if kind < 6:
        return rng.choice(
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
                rng.randrange(1 << 40),
            )
        )
    if kind < 8:
        return [random_value(rng, depth + 1) for _ in range(rng.randrange(8))]
    keys = ("s", "b", "r", "c", "part", "ballot", "round", "stream", "pieces", "from")
    return {rng.choice(keys): random_value(rng, depth + 1) for _ in range(4)}


def datagram_case(rng, valid_packet):
    """Return random bytes, or a truncated or altered copy of a valid datagram or frame."""
    kind = rng.randrange(5)
    if kind == 0:
        return rng.randbytes(rng.randrange(200))
    if kind == 1:
        return MAGIC + bytes([rng.randrange(5)]) + cbor2.dumps(random_value(rng))
    if kind == 2:
        return valid_packet[: rng.randrange(len(valid_packet))]
    fields = cbor2.loads(valid_packet[3:])
    if kind == 3:
        fields[rng.randrange(len(fields))] = random_value(rng)
        return valid_packet[:3] + cbor2.dumps(fields)
    flipped = bytearray(valid_packet)
    flipped[rng.randrange(3, len(valid_packet))] ^= 1 << rng.randrange(8)
    return bytes(flipped)
