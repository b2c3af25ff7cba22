"""Parses the requests on a client connection with httptools."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httptools

from quillring.kernel.http_messages import HttpRequest, RequestRejected

if TYPE_CHECKING:
    from collections.abc import Callable

    from quillring.kernel.http_server import HttpServer
    from quillring.kernel.types import HeaderLines


class RequestReader:
    """Incremental parser of requests; enforces the size limits.

    Calls `on_request(request)` with each complete request, never with an incomplete one. Calls
    `offer_continue()` after each header section; `is_continue_due` is true if the client sent
    `Expect: 100-continue` and waits for the interim response.
    """

    __slots__ = (
        "server",
        "parser",
        "on_request",
        "offer_continue",
        "lines",
        "target",
        "body",
        "body_size",
        "head_size",
        "is_reading",
        "is_continue_due",
    )

    def __init__(
        self,
        server: HttpServer,
        on_request: Callable[[HttpRequest], object],
        offer_continue: Callable[[], object],
    ) -> None:
        self.server = server
        self.on_request = on_request
        self.offer_continue = offer_continue
        self.parser = httptools.HttpRequestParser(self)
        self._reset()

    def _reset(self) -> None:
        """Discard the state of the previous request."""
        self.is_continue_due = False
        self.lines: HeaderLines = []
        self.target = b""
        self.body: list[bytes] = []
        self.body_size = self.head_size = 0
        self.is_reading = False

    def feed(self, data: bytes) -> None:
        """Parse bytes; a RequestRejected is raised as the context of an httptools error."""
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Begin a request (httptools callback)."""
        self._reset()
        self.is_reading = True

    def on_url(self, data: bytes) -> None:
        """Add bytes of the request target (httptools callback)."""
        self.target += data
        self._add_head_size(len(data))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field (httptools callback)."""
        self.lines.append((name.decode("latin-1"), value.decode("latin-1")))
        self._add_head_size(len(name) + len(value) + 4)

    def _add_head_size(self, size: int) -> None:
        """Count bytes of the head; raise RequestRejected if they exceed the limit."""
        self.head_size += size
        if self.head_size > self.server.limits().head_bytes:
            raise RequestRejected(status=431)

    def on_headers_complete(self) -> None:
        """End the header section; offer 100 Continue (httptools callback)."""
        for name, value in self.lines:
            if name.lower() == "expect" and value.lower() == "100-continue":
                self.is_continue_due = True
        self.offer_continue()

    def on_body(self, data: bytes) -> None:
        """Add bytes of the body (httptools callback).

        A client that sends its body no longer waits for 100 Continue.
        """
        self.is_continue_due = False
        self.body_size += len(data)
        if self.body_size > self.server.limits().body_bytes:
            raise RequestRejected(status=413)
        self.body.append(data)

    def on_message_complete(self) -> None:
        """End a request (httptools callback).

        An Upgrade header is ignored, but the connection ends after the response. CONNECT is
        rejected with status 400.
        """
        method = self.parser.get_method().decode("latin-1")
        if method == "CONNECT":
            raise RequestRejected(status=400)
        self.on_request(
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
