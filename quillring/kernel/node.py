"""A node: named local services, and remote calls between nodes over the nifty transport.

A reply completes a call only if it comes from the called node, with a call id of this incarnation:
ids start at a hash of name and incarnation. The called node copies the id, whatever its protocol
version.
"""

from __future__ import annotations

import hashlib
from functools import partial
from types import GeneratorType
from typing import TYPE_CHECKING

from quillring.kernel.bounds import Bounds
from quillring.kernel.effects import Signal, Wait
from quillring.kernel.errors import (
    QuillringError,
    TimedOut,
    UnknownService,
    Unreachable,
    error_from_wire,
)
from quillring.kernel.messages import CallReply, CallRequest, is_reply
from quillring.kernel.records import NamedTuple
from quillring.kernel.traffic import TrafficCounters

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from typing import Any

    from quillring.kernel.member import Member
    from quillring.kernel.runtime import Runtime
    from quillring.kernel.types import CallHandler, Coroutine, LogWriter, RoutingGraph, WireMap

    Call = tuple[str, str, Any]

CALL_NUMBER_BITS = 31
INCARNATION_HASH_BYTES = 4


class PendingCall(NamedTuple):
    """A pending call: the signal that its reply sets, and the called node."""

    reply_signal: Signal
    target: str


def first_call_id(me: Member) -> int:
    """Return the number before the first call id of an incarnation.

    Its upper 32 bits are a hash of name and incarnation, the lower 31 number the calls.
    """
    text = f"{me.name}/{me.incarnation}".encode()
    digest = hashlib.blake2b(text, digest_size=INCARNATION_HASH_BYTES).digest()
    return int.from_bytes(digest, "big") << CALL_NUMBER_BITS


class Node:
    """The micro-kernel of one process; owns its services, call handlers, counters and calls."""

    __slots__ = (
        "me",
        "runtime",
        "bounds",
        "services",
        "handlers",
        "pending_calls",
        "last_call_id",
        "log",
        "counts",
        "traffic",
        "is_draining",
        "is_closing",
        "under_way",
    )

    def __init__(
        self,
        me: Member,
        runtime: Runtime,
        bounds: Bounds | None = None,
        log: LogWriter | None = None,
    ) -> None:
        self.me = me
        self.runtime = runtime
        self.bounds = bounds or Bounds()
        self.services: dict[str, Any] = {}
        self.handlers: dict[str, CallHandler] = {}
        self.pending_calls: dict[int, PendingCall] = {}
        self.last_call_id = first_call_id(me)
        self.log: LogWriter = log or (lambda level, text, *fields: None)
        self.counts: dict[str, int] = {}
        self.traffic = TrafficCounters()
        self.is_draining = False
        self.is_closing = False
        self.under_way = 0

    def now(self) -> float:
        """Return the runtime's monotonic time in seconds."""
        return self.runtime.now()

    def count(self, name: str, amount: int = 1) -> None:
        """Add to one of the node's counters."""
        if amount:
            self.counts[name] = self.counts.get(name, 0) + amount

    def offer(self, name: str, service: Any) -> Any:
        """Register a service under a name and return it."""
        self.services[name] = service
        return service

    def find(self, name: str) -> Any:
        """Return the service of this name, or None."""
        return self.services.get(name)

    def handle(self, name: str, handler: CallHandler) -> None:
        """Register a call handler: handler(body, origin) returns a value or a coroutine."""
        self.handlers[name] = handler

    def spawn(self, coroutine: Coroutine) -> Any:
        """Run a coroutine concurrently."""
        return self.runtime.spawn(coroutine)

    def send_oneway(self, target: str, service: str, body: Any) -> None:
        """Send a message without a reply; it may be lost."""
        self._send(target, CallRequest(service, body).to_wire())

    def call(self, target: str, service: str, body: Any, seconds: float | None = None) -> Coroutine:
        """Call a service of another node and return its reply, or raise its error.

        Raises
        ------
        TimedOut
            No reply came within `seconds` (default: `bounds.call_timeout`); it may have run.
        Unreachable
            There is no route to the node.
        """
        call_id, reply_signal = self._start_call(target, service, body)
        try:
            yield Wait(reply_signal, self.bounds.call_timeout if seconds is None else seconds)
        finally:
            self.pending_calls.pop(call_id, None)
        if not reply_signal.is_set:
            raise TimedOut(target=target, service=service)
        if isinstance(reply_signal.value, QuillringError):
            raise reply_signal.value
        return reply_signal.value

    def gather(
        self,
        calls: Sequence[Call],
        need: int,
        seconds: float | None = None,
        repeats: bool = False,
    ) -> Coroutine:
        """Make all calls concurrently; return {target: reply or error}.

        Returns once `need` of them succeeded, all have ended, or `seconds` have passed (default:
        `bounds.call_timeout`). With `repeats`, for idempotent calls only, those without a reply are
        sent again after half of the time. A call without a reply gives TimedOut.
        """
        seconds = self.bounds.call_timeout if seconds is None else seconds
        gathered_replies: dict[str, Any] = {}
        begun_calls: dict[str, tuple[int, Signal]] = {}
        done_signal = Signal()

        def take_reply(target: str, signal: Signal) -> None:
            gathered_replies[target] = signal.value
            good_count = sum(not isinstance(r, QuillringError) for r in gathered_replies.values())
            if good_count >= need or len(gathered_replies) == len(calls):
                done_signal.set()

        for target, service, body in calls:
            begun_calls[target] = self._start_call(target, service, body)
        for target, (_, signal) in begun_calls.items():
            signal.watchers.append(partial(take_reply, target, signal))
            if signal.is_set:
                take_reply(target, signal)
        if calls and not (yield Wait(done_signal, seconds / 2)):
            for target, service, body in calls if repeats else ():
                call_id = begun_calls[target][0]
                if call_id in self.pending_calls:
                    self._send(target, CallRequest(service, body, call_id).to_wire())
            yield Wait(done_signal, seconds / 2)
        for call_id, _ in begun_calls.values():
            self.pending_calls.pop(call_id, None)
        return {
            target: gathered_replies.get(target, TimedOut(target=target)) for target, _, _ in calls
        }

    def _start_call(self, target: str, service: str, body: Any) -> tuple[int, Signal]:
        self.last_call_id += 1
        call_id, reply_signal = self.last_call_id, Signal()
        if target == self.me.name:
            self.spawn(self._run_handler(service, body, target, reply_signal.set))
            return call_id, reply_signal
        self.pending_calls[call_id] = PendingCall(reply_signal, target)
        if not self._send(target, CallRequest(service, body, call_id).to_wire()):
            reply_signal.set(Unreachable(target=target))
        return call_id, reply_signal

    def on_graph(self, graph: RoutingGraph) -> None:
        """Fail pending calls to nodes without a route with TimedOut; they may have run."""
        for call in list(self.pending_calls.values()):
            if call.target not in graph.routes:
                call.reply_signal.set(TimedOut(target=call.target))

    def _send(self, target: str, message: WireMap) -> bool:
        is_routed: bool = self.find("nifty").send(target, message)
        return is_routed

    def on_message(self, origin: str, message: WireMap) -> None:
        """Handle a message from nifty: complete a call, or run the handler of a request."""
        if is_reply(message):
            self._complete_call(origin, CallReply.from_wire(message))
            return
        request = CallRequest.from_wire(message)
        call_id = request.call_id

        def send_reply(outcome: Any) -> None:
            self._send_reply(origin, call_id, outcome)

        self.spawn(self._run_handler(request.service, request.body, origin, send_reply))

    def _send_reply(self, target: str, call_id: Any, outcome: Any) -> None:
        """Send the result or error of a handler, unless the message was one-way."""
        if call_id is None:
            return
        if isinstance(outcome, QuillringError):
            reply = CallReply(call_id, outcome.detail, outcome.kind)
        else:
            reply = CallReply(call_id, outcome)
        self._send(target, reply.to_wire())

    def _complete_call(self, origin: str, reply: CallReply) -> None:
        """Complete the call that a reply belongs to; ignore a reply without a pending call."""
        call_id = reply.call_id
        call = self.pending_calls.get(call_id) if isinstance(call_id, int) else None
        if call is None:
            return
        if call.target != origin:
            self.count("replies_of_others")
            return
        del self.pending_calls[call_id]
        if reply.error_kind:
            call.reply_signal.set(error_from_wire(reply.error_kind, reply.body))
        else:
            call.reply_signal.set(reply.body)

    def _run_handler(
        self, service: str, body: Any, origin: str, send_reply: Callable[[Any], object]
    ) -> Coroutine:
        handler = self.handlers.get(service)
        try:
            if handler is None:
                raise UnknownService(service=service)
            answer = handler(body, origin)
            if isinstance(answer, GeneratorType):
                answer = yield from answer
        except QuillringError as error:
            answer = error
        except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
            self.log("error", "handler %s: %r", service, error)
            self.count("handler_errors")
            answer = QuillringError(service=service)
        send_reply(answer)
