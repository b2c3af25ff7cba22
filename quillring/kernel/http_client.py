"""HTTP/1.1 towards replicas, byte for byte: one request a connection at a time, answers by id.

Parsing is httptools'. A kept connection is used again only while its replica surely keeps it.
"""

from collections import deque

import gevent
import httptools

from quillring.kernel.connections import POOL, connect
from quillring.kernel.troubles import BackendTrouble

READ_SIZE = 65536
KEEP_SECONDS = 4.0
KEEP_SHARE = 0.6


class Answer:
    """One answer under way: its head, and its body part by part."""

    __slots__ = (
        "connection", "effect", "answerId", "lines", "status", "headers", "isKept", "parts",
        "isWhole", "isOurs", "hasHead", "hasBytes", "isFramed", "isClosed", "hasSurplus",
    )

    def __init__(self, connection, effect):
        self.connection = connection
        self.effect = effect
        self.answerId = effect.answerId
        self.parts = deque()
        self.hasBytes = False
        self.isWhole = self.hasSurplus = False
        self.isClosed = False
        self.begin()

    def begin(self):
        """Forget what was read: another answer begins; after our own it is surplus."""
        if self.isWhole:
            self.hasSurplus = True
            return
        self.lines = []
        self.status, self.headers, self.isKept = None, {}, False
        self.isOurs = self.hasHead = self.isFramed = False

    def end_head(self, status, isKept):
        """Take the head; an answer to another inquiry is skipped."""
        if self.hasSurplus:
            return
        self.status, self.isKept = status, isKept
        self.headers = {name.lower(): value for name, value in self.lines}
        self.isOurs = status >= 200 and (
            self.answerId is None or self.headers.get(self.answerId[0]) == self.answerId[1])
        self.hasHead = self.isOurs
        self.isFramed = "content-length" in self.headers or "transfer-encoding" in self.headers

    def add(self, data):
        """Take body bytes."""
        if self.isOurs and not self.isWhole:
            self.parts.append(data)

    def end(self):
        """Take the end of a message; what comes after ours belongs to nobody."""
        if self.isOurs:
            self.isWhole = True

    def read(self):
        """Read once from the connection and parse it; BackendTrouble at its end."""
        try:
            data = self.connection.sock.recv(READ_SIZE)
        except OSError as error:
            raise BackendTrouble(reason=type(error).__name__) from error
        if not data:
            if self.hasHead and not self.isFramed:
                self.isWhole, self.isKept = True, False
                return
            raise BackendTrouble(reason="broken off")
        self.hasBytes = True
        try:
            self.connection.parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise BackendTrouble(reason="no answer") from error

    def write(self, seconds):
        """Write the request."""
        self.connection.answer = self
        try:
            with gevent.Timeout(max(seconds, 0.001), BackendTrouble(reason="stall")):
                self.connection.sock.sendall(self.effect.data)
        except OSError as error:
            raise BackendTrouble(reason=type(error).__name__) from error

    def next_head(self, seconds):
        """Return once the head is there; a kept connection that had died is replaced once."""
        try:
            self._read_head(seconds)
        except BackendTrouble as trouble:
            if trouble.detail["reason"] == "stall" or self.hasBytes or not self.connection.wasUsed:
                raise
            self.connection.close()
            self.connection = connect(self.effect.address, seconds)
            self.write(seconds)
            self._read_head(seconds)

    def _read_head(self, seconds):
        if not self.hasHead:
            with gevent.Timeout(max(seconds, 0.001), BackendTrouble(reason="stall")):
                while not self.hasHead:
                    self.read()

    def next_part(self, seconds):
        """Return the next bytes of the body, or None at its proper end."""
        if not self.parts and not self.isWhole:
            with gevent.Timeout(max(seconds, 0.001), BackendTrouble(reason="stall")):
                while not self.parts and not self.isWhole:
                    self.read()
        if not self.parts:
            return None
        data = b"".join(self.parts)
        self.parts.clear()
        return data

    def keep_seconds(self):
        """Return how long the replica surely keeps the connection when nothing is sent."""
        for word in self.headers.get("keep-alive", "").split(","):
            name, _, value = word.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                return int(value) * KEEP_SHARE
        return KEEP_SECONDS * KEEP_SHARE

    def close(self):
        """End with the answer: a whole one leaves its connection to others."""
        if self.isClosed:
            return
        self.isClosed = True
        keepSeconds = self.keep_seconds() if self.isWhole and self.isKept else 0
        if keepSeconds > 0 and not self.parts and not self.hasSurplus:
            POOL.put(self.connection, keepSeconds)
        else:
            self.connection.close()


def send_on(effect):
    """Send a request on a kept or a new connection and return the handle of its answer."""
    kept = POOL.take(tuple(effect.address)) if effect.mayReuse else None
    if kept is not None:
        answer = Answer(kept, effect)
        try:
            answer.write(effect.seconds)
            return answer
        except BackendTrouble:
            kept.close()
    answer = Answer(connect(effect.address, effect.seconds), effect)
    try:
        answer.write(effect.seconds)
    except BaseException:
        answer.close()
        raise
    return answer
