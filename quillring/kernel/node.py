"""A node: registry of local services, and remote calls between nodes over the nifty transport.

A reply completes a call only if it comes from the called node and has a call id of this
incarnation. Call ids start at a hash of name and incarnation, so late replies to an earlier
incarnation do not match. The called node copies the id, whatever its protocol version.
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
    """A call without a reply so far.

    Attributes
    ----------
    reply_signal : signal that is set to the reply's body or its error
    target : name of the called node
    """

    reply_signal: Signal
    target: str


def initial_call_counter(me: Member) -> int:
    """Return the start value of the call counter of an incarnation, one less than its first id.

    Its upper 32 bits are a hash of name and incarnation; the lower 31 bits count the calls.
    """
    text = f"{me.name}/{me.incarnation}".encode()
    digest = hashlib.blake2b(text, digest_size=INCARNATION_HASH_BYTES).digest()
    return int.from_bytes(digest, "big") << CALL_NUMBER_BITS


class Node:
    """The kernel of one process; owns its services, call handlers, counters and pending calls.

    Attributes
    ----------
    services : local services by name
    handlers : handlers of calls by the name of the called service
    counts : event counters by name
    is_draining : whether the process is to stop once its requests in flight have finished
    is_closing : whether the draining process refuses new requests
    requests_in_flight : number of requests in flight
    """

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
        "requests_in_flight",
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
        self.last_call_id = initial_call_counter(me)
        self.log: LogWriter = log or (lambda level, text, *fields: None)
        self.counts: dict[str, int] = {}
        self.traffic = TrafficCounters()
        self.is_draining = False
        self.is_closing = False
        self.requests_in_flight = 0

    def now(self) -> float:
        """Return the runtime's monotonic time in seconds."""
        return self.runtime.now()

    def count(self, name: str, amount: int = 1) -> None:
        """Add an amount to the event counter of this name."""
        if amount:
            self.counts[name] = self.counts.get(name, 0) + amount

    def offer(self, name: str, service: Any) -> Any:
        """Register a local service under a name and return it."""
        self.services[name] = service
        return service

    def find(self, name: str) -> Any:
        """Return the local service of this name, or None."""
        return self.services.get(name)

    def handle(self, name: str, handler: CallHandler) -> None:
        """Register `handler(body, origin)` for calls to this service name.

        It returns the reply's body, or a coroutine that does; `origin` is the name of the caller.
        """
        self.handlers[name] = handler

    def spawn(self, coroutine: Coroutine) -> Any:
        """Start a coroutine that runs concurrently; return its task."""
        return self.runtime.spawn(coroutine)

    def send_oneway(self, target: str, service: str, body: Any) -> None:
        """Send a message that has no reply, without a delivery guarantee."""
        self._send(target, CallRequest(service, body).to_wire())

    def call(self, target: str, service: str, body: Any, seconds: float | None = None) -> Coroutine:
        """Coroutine: call a service of a node; return the reply's body or raise its error.

        Raises
        ------
        TimedOut
            No reply arrived within `seconds` (default: `bounds.call_timeout`), or the route to the
            node was lost; the call may have run.
        Unreachable
            There was no route to the node, and nothing was sent.
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
        """Coroutine: make several calls concurrently; return {target: reply or error}.

        Returns as soon as `need` calls have succeeded or all calls have completed, at the latest
        after `seconds` (default: `bounds.call_timeout`). With `repeats`, which is for idempotent
        calls only, requests without a reply are sent again after half of this time. The result of
        a call without a reply is TimedOut.
        """
        seconds = self.bounds.call_timeout if seconds is None else seconds
        replies_by_target: dict[str, Any] = {}
        started_calls: dict[str, tuple[int, Signal]] = {}
        done_signal = Signal()

        def record_reply(target: str, signal: Signal) -> None:
            replies_by_target[target] = signal.value
            success_count = sum(
                not isinstance(r, QuillringError) for r in replies_by_target.values()
            )
            if success_count >= need or len(replies_by_target) == len(calls):
                done_signal.set()

        for target, service, body in calls:
            started_calls[target] = self._start_call(target, service, body)
        for target, (_, signal) in started_calls.items():
            signal.watchers.append(partial(record_reply, target, signal))
            if signal.is_set:
                record_reply(target, signal)
        if calls and not (yield Wait(done_signal, seconds / 2)):
            for target, service, body in calls if repeats else ():
                call_id = started_calls[target][0]
                if call_id in self.pending_calls:
                    self._send(target, CallRequest(service, body, call_id).to_wire())
            yield Wait(done_signal, seconds / 2)
        for call_id, _ in started_calls.values():
            self.pending_calls.pop(call_id, None)
        return {
            target: replies_by_target.get(target, TimedOut(target=target)) for target, _, _ in calls
        }

    def _start_call(self, target: str, service: str, body: Any) -> tuple[int, Signal]:
        """Send a request and register the pending call; return (call id, reply signal).

        The signal is set to Unreachable at once if there is no route.
        """
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
        """Fail pending calls to nodes that have no route any more with TimedOut.

        The error is not Unreachable, since the calls may have run.
        """
        for call in list(self.pending_calls.values()):
            if call.target not in graph.routes:
                call.reply_signal.set(TimedOut(target=call.target))

    def _send(self, target: str, message: WireMap) -> bool:
        is_routed: bool = self.find("nifty").send(target, message)
        return is_routed

    def on_message(self, origin: str, message: WireMap) -> None:
        """Handle a message from nifty: complete the call of a reply, or run a request's handler."""
        if is_reply(message):
            self._complete_call(origin, CallReply.from_wire(message))
            return
        request = CallRequest.from_wire(message)
        call_id = request.call_id

        def send_reply(outcome: Any) -> None:
            self._send_reply(origin, call_id, outcome)

        self.spawn(self._run_handler(request.service, request.body, origin, send_reply))

    def _send_reply(self, target: str, call_id: Any, outcome: Any) -> None:
        """Send the result or error of a handler, unless the request was a one-way message."""
        if call_id is None:
            return
        if isinstance(outcome, QuillringError):
            reply = CallReply(call_id, outcome.detail, outcome.kind)
        else:
            reply = CallReply(call_id, outcome)
        self._send(target, reply.to_wire())

    def _complete_call(self, origin: str, reply: CallReply) -> None:
        """Complete the pending call with the id of a reply; ignore the reply if there is none.

        A reply from another node than the called one is counted and ignored.
        """
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
        """Coroutine: run a service's handler and pass its result or error to `send_reply`."""
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
            self.log("error", "handler of service %s failed: %r", service, error)
            self.count("handler_errors")
            answer = QuillringError(service=service)
        send_reply(answer)
