"""Assembles requests from the bytes of a client connection, parsed by httptools."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httptools

from quillring.kernel.http_messages import HttpRequest, RequestRejected

if TYPE_CHECKING:
    from collections.abc import Callable

    from quillring.kernel.http_server import HttpServer
    from quillring.kernel.types import HeaderLines


class RequestReader:
    """Reads requests within the limits; calls `take(request)` with each complete one.

    `offer_to_go_on()` is called when the client sent `Expect: 100-continue` and waits for the
    interim response (`owes_interim`). An incomplete request is never passed to `take`.
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
        """Parse bytes; RequestRejected is raised as the context of an httptools error."""
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Begin a request (httptools callback)."""
        self._reset()
        self.is_reading = True

    def on_url(self, data: bytes) -> None:
        """Add bytes of the request target (httptools callback)."""
        self.target += data
        self._grow_head(len(data))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field (httptools callback)."""
        self.lines.append((name.decode("latin-1"), value.decode("latin-1")))
        self._grow_head(len(name) + len(value) + 4)

    def _grow_head(self, size: int) -> None:
        self.head_size += size
        if self.head_size > self.server.limits().head_bytes:
            raise RequestRejected(status=431)

    def on_headers_complete(self) -> None:
        """End the header section; send 100 Continue if the client waits for it."""
        for name, value in self.lines:
            if name.lower() == "expect" and value.lower() == "100-continue":
                self.owes_interim = True
        self.offer_to_go_on()

    def on_body(self, data: bytes) -> None:
        """Add bytes of the body; the client no longer waits for 100 Continue."""
        self.owes_interim = False
        self.body_size += len(data)
        if self.body_size > self.server.limits().body_bytes:
            raise RequestRejected(status=413)
        self.body.append(data)

    def on_message_complete(self) -> None:
        """End a request: ignore an Upgrade header, reject CONNECT with status 400."""
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
