"""Property tests: reuse of replica connections under surplus, truncated and split answers."""

from contextlib import ExitStack
from unittest import mock

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from proving.tools.scripted_connection import END, RESET, FakeConnections
from quillring.kernel import http_client
from quillring.kernel.connection_pool import ConnectionPool
from quillring.kernel.effects import SendRequest
from quillring.kernel.errors import BackendError
from quillring.kernel.http_client import ClientExchange, send_request
from tests.profiles import profile
from tests.scripted_peer import ID_HEADER, request

ADDRESS = ("10.0.0.1", 9000)
IDS = [b"a", b"b", b"c", b"d"]
CUTS = st.lists(st.integers(0, 400), max_size=3)
NUMBER = st.integers(0, 50)
PROFILE = profile(300)
GUARD_PROFILE = profile(3000)
"""Which examples are drawn depends on the modules loaded before.

Ten times the examples of PROFILE find each disabled guard, whatever the order of the tests.
"""


class Exchange:
    """One transmission of a request: its socket, the body of its answer and what was read of it."""

    def __init__(self, number, name, handle, sock):
        self.number, self.name, self.handle, self.sock = number, name, handle, sock
        self.body = b"answer to sending %d" % number
        self.read = b""
        self.is_whole = self.is_over = False

    def answer(self, is_chunked=False):
        head = b"HTTP/1.1 200 OK\r\n" + (b"X-Id: %s\r\n" % self.name if self.name else b"")
        if is_chunked:
            half = len(self.body) // 2
            parts = [self.body[:half], self.body[half:]]
            body = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
            return head + b"Transfer-Encoding: chunked\r\n\r\n" + body + b"0\r\n\r\n"
        return head + b"Content-Length: %d\r\n\r\n%s" % (len(self.body), self.body)


class Connections(RuleBasedStateMachine):
    """Requests go out while the replica answers in any way; no body reaches another sending."""

    def __init__(self):
        super().__init__()
        self.wire = FakeConnections()
        self.wire.start()
        self.exchanges = []

    def teardown(self):
        self.wire.stop()

    def open_ones(self):
        return [exchange for exchange in self.exchanges if not exchange.is_over]

    def pick(self, number):
        """Return an exchange under way, or None."""
        exchanges = self.open_ones()
        return exchanges[number % len(exchanges)] if exchanges else None

    @rule(name=st.sampled_from([*IDS, None]), may_reuse=st.booleans())
    def send(self, name, may_reuse):
        if len(self.open_ones()) >= 4:
            return
        before = [len(sock.written) for sock in self.wire.sockets]
        data = request(name)
        response_id = (ID_HEADER, name and name.decode())
        handle = send_request(SendRequest(ADDRESS, data, 5, may_reuse, response_id))
        after = [len(sock.written) for sock in self.wire.sockets]
        assert sum(after) == sum(before) + 1, "a request is written once"
        sock = handle.connection.sock
        assert may_reuse or len(sock.written) == 1, "what may not repeat gets a new connection"
        self.exchanges.append(Exchange(len(self.exchanges), name, handle, sock))

    @rule(number=NUMBER, cuts=CUTS, is_chunked=st.booleans())
    def answer(self, number, cuts, is_chunked):
        if exchange := self.pick(number):
            exchange.sock.put(exchange.answer(is_chunked), cuts)

    @rule(number=NUMBER, cuts=CUTS)
    def answer_without_a_length(self, number, cuts):
        if exchange := self.pick(number):
            head, _, body = exchange.answer().partition(b"\r\n\r\n")
            lines = [line for line in head.split(b"\r\n") if not line.startswith(b"Content-")]
            exchange.sock.put(b"\r\n".join(lines) + b"\r\n\r\n" + body, cuts)
            exchange.sock.incoming.append(END)

    @rule(number=NUMBER, former=NUMBER, cuts=CUTS)
    def send_surplus(self, number, former, cuts):
        """A late copy of an answer that was given on this connection before."""
        sockets = [sock for sock in self.wire.sockets if sock.written and not sock.is_closed]
        if sockets:
            sock = sockets[number % len(sockets)]
            carried = [exchange for exchange in self.exchanges if exchange.sock is sock]
            sock.put(carried[former % len(carried)].answer(), cuts)

    @rule(number=NUMBER, cuts=CUTS, kind=st.sampled_from(["interim", "foreign", "garbage"]))
    def send_other_bytes(self, number, cuts, kind):
        data = {
            "interim": b"HTTP/1.1 100 Continue\r\n\r\n",
            "foreign": b"HTTP/1.1 200 OK\r\nX-Id: z\r\nContent-Length: 6\r\n\r\nothers",
            "garbage": b"\x00\x01 no answer\r\n\r\n",
        }[kind]
        if exchange := self.pick(number):
            exchange.sock.put(data, cuts)

    @rule(number=NUMBER, length=st.integers(0, 90), how=st.sampled_from([END, RESET]))
    def break_off(self, number, length, how):
        """A part of the answer due, and then the connection's end."""
        if exchange := self.pick(number):
            exchange.sock.put(exchange.answer()[: min(length, len(exchange.answer()) - 1)])
            exchange.sock.incoming.append(how)

    @rule(number=NUMBER)
    def read(self, number):
        if exchange := self.pick(number):
            try:
                exchange.handle.read_head(1)
                part = exchange.handle.read_body_part(1)
            except BackendError as error:
                if error.detail["reason"] != "stall":
                    self.end(exchange)
                return
            exchange.read += part or b""
            if part is None:
                exchange.is_whole = True
                self.end(exchange)

    @rule(name=st.sampled_from(IDS), cuts=CUTS, copies=st.integers(0, 1), late=CUTS)
    def exchange_whole(self, name, cuts, copies, late):
        """A whole exchange over a kept connection, perhaps with a copy of its answer behind it."""
        if len(self.open_ones()) >= 4:
            return
        self.send(name, True)
        exchange = self.exchanges[-1]
        exchange.sock.put(exchange.answer(), cuts)
        while not exchange.is_over and exchange.sock.incoming:
            self.read(self.open_ones().index(exchange))
        for _ in range(copies):
            exchange.sock.put(exchange.answer(), late)

    @rule(number=NUMBER)
    def give_up(self, number):
        if exchange := self.pick(number):
            self.end(exchange)

    def end(self, exchange):
        exchange.handle.close()
        exchange.is_over = True

    @invariant()
    def no_body_reaches_another(self):
        for exchange in self.exchanges:
            assert exchange.body.startswith(exchange.read)
            assert not exchange.is_whole or exchange.read == exchange.body

    @invariant()
    def kept_connections_carry_one_request_at_a_time(self):
        sockets = [id(exchange.sock) for exchange in self.open_ones()]
        assert len(sockets) == len(set(sockets))


TestConnections = Connections.TestCase
TestConnections.settings = PROFILE


def take_any_idle_connection(pool, address, response_id=None):
    """Replaces the guard: takes any idle connection."""
    idle_connections = pool.idle.get(address)
    return idle_connections.pop() if idle_connections else None


def always_keep_connection(answer):
    """Replaces the guard: keeps a connection although its answer was not read completely."""
    if not answer.is_closed:
        answer.is_closed = True
        http_client.POOL.put(answer.connection, 60)


@pytest.mark.parametrize(
    "guards",
    [
        [(ClientExchange, "_bears_our_id", lambda answer: True)],
        [(ConnectionPool, "take", take_any_idle_connection)],
        [
            (ConnectionPool, "take", take_any_idle_connection),
            (ClientExchange, "close", always_keep_connection),
        ],
    ],
    ids=["ids of answers", "ids of connections", "unread answers"],
)
def test_disabling_each_guard_is_detected(guards):
    quick = settings(GUARD_PROFILE, phases=[Phase.generate], report_multiple_bugs=False)
    with ExitStack() as stack, pytest.raises(AssertionError):
        for target, name, replacement in guards:
            stack.enter_context(mock.patch.object(target, name, replacement))
        run_state_machine_as_test(Connections, settings=quick)
