"""Requests put together from the bytes of a client's connection; parsing is httptools'."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httptools

from quillring.kernel.http_messages import HttpRequest, RequestRejected

if TYPE_CHECKING:
    from collections.abc import Callable

    from quillring.kernel.http_server import HttpServer
    from quillring.kernel.types import HeaderLines


class RequestReader:
    """Reads requests within the limits and hands on each whole one.

    `take(request)` gets it; `offer_to_go_on()` is called where a client holds its body back until
    it is asked for (`owes_interim`). Nothing of a request that is cut short is handed on.
    """

    __slots__ = (
        "server",
        "parser",
        "take",
        "offer_to_go_on",
        "lines",
        "target",
        "body",
        "body_size",
        "head_size",
        "is_reading",
        "owes_interim",
    )

    def __init__(
        self,
        server: HttpServer,
        take: Callable[[HttpRequest], object],
        offer_to_go_on: Callable[[], object],
    ) -> None:
        self.server = server
        self.take = take
        self.offer_to_go_on = offer_to_go_on
        self.parser = httptools.HttpRequestParser(self)
        self._reset()

    def _reset(self) -> None:
        self.owes_interim = False
        self.lines: HeaderLines = []
        self.target = b""
        self.body: list[bytes] = []
        self.body_size = self.head_size = 0
        self.is_reading = False

    def feed(self, data: bytes) -> None:
        """Take bytes; BadClient and httptools' errors come as the parser wraps them."""
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Begin to read a request."""
        self._reset()
        self.is_reading = True

    def on_url(self, data: bytes) -> None:
        """Take a piece of the target."""
        self.target += data
        self._grow_head(len(data))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header line."""
        self.lines.append((name.decode("latin-1"), value.decode("latin-1")))
        self._grow_head(len(name) + len(value) + 4)

    def _grow_head(self, size: int) -> None:
        self.head_size += size
        if self.head_size > self.server.limits().head_bytes:
            raise RequestRejected(status=431)

    def on_headers_complete(self) -> None:
        """Take the end of the head; ask for the body where the client waits for that."""
        for name, value in self.lines:
            if name.lower() == "expect" and value.lower() == "100-continue":
                self.owes_interim = True
        self.offer_to_go_on()

    def on_body(self, data: bytes) -> None:
        """Take bytes of the body; the client waits for no word to send them."""
        self.owes_interim = False
        self.body_size += len(data)
        if self.body_size > self.server.limits().body_bytes:
            raise RequestRejected(status=413)
        self.body.append(data)

    def on_message_complete(self) -> None:
        """Take the end of a request; no upgrade is made, and a tunnel is refused."""
        method = self.parser.get_method().decode("latin-1")
        if method == "CONNECT":
            raise RequestRejected(status=400)
        self.take(
            HttpRequest(
                method,
                self.target.decode("latin-1"),
                self.lines,
                b"".join(self.body),
                self.parser.should_keep_alive() and not self.parser.should_upgrade(),
                self.server.now(),
            )
        )
        self._reset()
