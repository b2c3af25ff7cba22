"""Runs one process: builds the node from its settings, opens its sockets and handles signals."""

from __future__ import annotations

import logging
import os
import signal
import time
from typing import TYPE_CHECKING, Any

import gevent

from quillring.fleet import make_node, open_store, start_node
from quillring.kernel.errors import QuillringError
from quillring.kernel.gevent_runtime import GeventRuntime
from quillring.kernel.records import NamedTuple
from quillring.kernel.ringlog import ring_log
from quillring.kernel.timer_coalescing import TimerCoalescer
from quillring.kernel.wsgi import make_app
from quillring.kernel.wsgi_server import start_wsgi_server
from quillring.nifty import Member
from quillring.quorum.founding.bootstrap import found_at_first_start
from quillring.store import FolderDisk
from quillring.verbs import routes

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from quillring.kernel.node import Node
    from quillring.kernel.settings import Settings
    from quillring.kernel.types import LogWriter

PLUGINS = (routes,)


class NameTaken(QuillringError):
    """Another live member has this node's name at another address."""

    kind = "name_taken"


DRAIN_TIMEOUT_FACTOR = 50
"""Longest drain in recovery bounds (`bounds.recovery`), if no grace period is set."""
DRAIN_GRACE_SHARE = 0.9
ADMISSION_GRACE_SHARE = 0.4
MAX_ADMISSION_SECONDS = 3.0
"""A draining node still accepts new requests for ADMISSION_GRACE_SHARE of the grace period, but no
longer than MAX_ADMISSION_SECONDS."""
STEPS_PER_GOSSIP_INTERVAL = 2
LOG_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class NameClash(NamedTuple):
    """A report that another member has this node's name: its sender and time of arrival."""

    reporter: str
    received_at: float


def drain(node: Node, servers: Iterable[Any]) -> None:
    """Refuse new requests, finish those in flight, hand over the journal and stop the servers.

    New requests are accepted for a short time at first, while the platform reroutes clients, and
    then refused, since they might not finish before the process ends. Requests in flight may finish
    within DRAIN_GRACE_SHARE of the grace period or, if none is set, within DRAIN_TIMEOUT_FACTOR
    recovery bounds.
    """
    node.is_draining = True
    node.find("ownership").announce_drain()
    grace = node.bounds.grace_period
    if grace is None:
        timeout_seconds = node.bounds.recovery * DRAIN_TIMEOUT_FACTOR
        admission_seconds = node.bounds.heartbeat_interval
    else:
        timeout_seconds = grace * DRAIN_GRACE_SHARE
        admission_seconds = min(grace * ADMISSION_GRACE_SHARE, MAX_ADMISSION_SECONDS)
    deadline = node.now() + timeout_seconds
    gevent.sleep(admission_seconds)
    node.is_closing = True
    while node.requests_in_flight and node.now() < deadline:
        gevent.sleep(node.bounds.gossip_interval)
    journal = node.find("journal")
    if journal is not None:
        node.runtime.drive(journal.hand_over())
    for server in servers:
        server.stop()


def open_no_extra_servers(node: Node, report: Callable[..., None]) -> Iterable[Any]:
    """Start no further servers; the default of `run_process`."""
    return ()


def run_process(
    settings: Settings,
    reload_settings: Callable[[], Settings],
    make_runtime: Callable[..., Any] = GeventRuntime,
    open_extra_servers: Callable[
        [Node, Callable[..., None]], Iterable[Any]
    ] = open_no_extra_servers,
) -> None:
    """Run a node until a signal or an operator stops it, then drain it.

    Parameters
    ----------
    reload_settings
        Reads the settings again; called on SIGHUP.
    open_extra_servers
        Starts servers on further listening addresses and returns them.

    Raises
    ------
    NameTaken
        Another live member has this node's name.
    """
    node_logger, ring_handler = ring_log(settings.name, settings.log_file)

    acceptors = None
    if settings.role == "store":
        assert settings.folder is not None, "the settings of a store name its data folder"
        acceptors = open_store(
            FolderDisk(settings.folder), settings.name, lambda: os.urandom(6).hex()
        )
    me = make_own_member(settings, acceptors.identity if acceptors else "")
    runtime = make_runtime(lambda error: node_logger.error("failure", exc_info=error), 1.0)
    step_seconds = settings.bounds.gossip_interval / STEPS_PER_GOSSIP_INTERVAL
    runtime.timers = TimerCoalescer(runtime.now(), step_seconds)
    node = make_node(me, runtime, settings.seeds, settings.bounds, make_log_writer(node_logger))
    node.offer("ring", ring_handler)
    node.find("decisions").ratio = settings.decision_log_ratio
    start_node(node, acceptors)
    nifty = node.find("nifty")
    runtime.on_refused = nifty.on_refused
    runtime.listen(*settings.address, nifty.on_datagram, nifty.on_frame)
    server = start_wsgi_server(settings.http_address, make_app(node), node_logger)
    servers = [*open_extra_servers(node, runtime.report), server]
    prepare_founding(node, settings)
    clash = wait_for_stop(node, settings.bounds.propagation, reload_settings)
    if clash is not None:
        server.stop(timeout=0)
        raise NameTaken(name=settings.name, told_by=clash.reporter)
    drain(node, servers)


def make_log_writer(node_logger: logging.Logger) -> LogWriter:
    """Return a function that writes to the node's log at a level given by name."""

    def log(level: str, text: str, *fields: object) -> None:
        node_logger.log(LOG_LEVELS[level], text, *fields)

    return log


def make_own_member(settings: Settings, identity: str) -> Member:
    """Return this process as a member; its incarnation is the start time in microseconds."""
    host, port = settings.address
    return Member(
        settings.name,
        time.time_ns() // 1000,
        settings.role,
        settings.zone,
        host,
        port,
        settings.http_address[1],
        identity,
    )


def prepare_founding(node: Node, settings: Settings) -> None:
    """Configure the node for the first start of a fleet; a core starts the founding task."""
    voter = node.find("elector")
    voter.is_first_start, voter.witness = settings.bootstrap, settings.witness
    if settings.role == "core":
        store_count = settings.losses * 2 + 1
        node.spawn(found_at_first_start(node, settings.bootstrap, settings.parts, store_count))


def wait_for_stop(
    node: Node, clash_seconds: float, reload_settings: Callable[[], Settings]
) -> NameClash | None:
    """Wait for a signal, an operator's drain or a lasting name clash; return the clash, if any.

    A clash lasts when its reports span more than `clash_seconds`.
    """
    stop_event = gevent.event.Event()
    clashes: list[NameClash] = []

    def is_lasting_clash() -> bool:
        return bool(clashes) and clashes[-1].received_at - clashes[0].received_at > clash_seconds

    def on_clash(body: object, origin: str) -> None:
        clashes.append(NameClash(origin, node.now()))
        if is_lasting_clash():
            stop_event.set()

    node.offer("stop", stop_event.set)
    node.handle("member.clash", on_clash)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, stop_event.set)
    gevent.signal_handler(signal.SIGHUP, apply_reloaded_settings, node, reload_settings)
    stop_event.wait()
    return clashes[-1] if is_lasting_clash() else None


def apply_reloaded_settings(node: Node, reload_settings: Callable[[], Settings]) -> None:
    """Apply changed seeds; other settings need a restart. Invalid ones are only logged."""
    try:
        node.find("nifty").seeds = reload_settings().seeds
    except* QuillringError as group:
        node.log("error", "settings not changed: %s", group.exceptions)
