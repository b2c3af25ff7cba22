"""Running one process: settings to node, sockets, HTTP server, signals."""

import logging
import os
import signal
import time

import gevent

from quillring.fleet import make_node, open_store, start_node
from quillring.kernel.errors import QuillringError
from quillring.kernel.gevent_runtime import GeventRuntime
from quillring.kernel.ringlog import ring_log
from quillring.kernel.timer_coalescing import TimerCoalescer
from quillring.kernel.wsgi import make_app
from quillring.kernel.wsgi_server import start_wsgi_server
from quillring.nifty import Member
from quillring.quorum.founding.bootstrap import found_at_first_start
from quillring.store import FolderDisk
from quillring.verbs import routes

PLUGINS = (routes,)


class NameTaken(QuillringError):
    """Another live member bears this name at another address."""

    kind = "name_taken"


DRAIN_PATIENCE = 50
GRACE_SHARE = 0.9
TAKING_SHARE, MOST_TAKING_SECONDS = 0.4, 3.0
STEPS_A_CHATTER = 2
LEVELS = {"debug": logging.DEBUG, "warning": logging.WARNING, "error": logging.ERROR}


def drain(node, servers):
    """Take nothing new, finish what is under way, hand the journal over, end.

    Where the platform gives a grace, all of that ends within it, and clients' requests are still
    taken at first, until the platform has surely sent them elsewhere; one that comes later might be
    cut at the end, and is refused.
    """
    node.is_draining = True
    node.find("ownership").announce_drain()
    grace = node.bounds.grace_period
    patience = node.bounds.recovery * DRAIN_PATIENCE if grace is None else grace * GRACE_SHARE
    deadline = node.now() + patience
    taking_seconds = node.bounds.heartbeat_interval
    if grace is not None:
        taking_seconds = min(grace * TAKING_SHARE, MOST_TAKING_SECONDS)
    gevent.sleep(taking_seconds)
    node.is_closing = True
    while node.under_way and node.now() < deadline:
        gevent.sleep(node.bounds.gossip_interval)
    journal = node.find("journal")
    if journal is not None:
        node.runtime.drive(journal.hand_over())
    for server in servers:
        server.stop()


def run_process(settings, reread, make_world=GeventRuntime, open_more=lambda node, report: ()):
    """Run a node until the platform stops it; a planned stop finishes what is under way.

    `open_more(node, report)` opens further listening addresses and returns their servers.
    """
    node_logger, ring_handler = ring_log(settings.name, settings.log_file)

    def log(level, text, *fields):
        node_logger.log(LEVELS[level], text, *fields)

    acceptors = None
    if settings.role == "store":
        acceptors = open_store(
            FolderDisk(settings.folder), settings.name, lambda: os.urandom(6).hex()
        )
    me = Member(
        settings.name,
        time.time_ns() // 1000,
        settings.role,
        settings.zone,
        *settings.address,
        settings.http_address[1],
        acceptors.identity if acceptors else "",
    )
    runtime = make_world(lambda error: node_logger.error("failure", exc_info=error), 1.0)
    step_seconds = settings.bounds.gossip_interval / STEPS_A_CHATTER
    runtime.timers = TimerCoalescer(runtime.now(), step_seconds)
    node = make_node(me, runtime, settings.seeds, settings.bounds, log)
    node.offer("ring", ring_handler)
    start_node(node, acceptors)
    nifty = node.find("nifty")
    runtime.on_refused = nifty.on_refused
    runtime.listen(*settings.address, nifty.on_datagram, nifty.on_frame)
    server = start_wsgi_server(settings.http_address, make_app(node), node_logger)
    servers = [*open_more(node, runtime.report), server]
    elector = node.find("elector")
    elector.is_first_start, elector.witness = settings.bootstrap, settings.witness
    if settings.role == "core":
        node.spawn(
            found_at_first_start(node, settings.bootstrap, settings.parts, settings.losses * 2 + 1)
        )
    stop_event, clashes = gevent.event.Event(), []
    node.offer("stop", stop_event.set)

    def on_clash(body, origin):
        clashes.append((origin, node.now()))
        if clashes[-1][1] - clashes[0][1] > settings.bounds.propagation:
            stop_event.set()

    node.handle("member.clash", on_clash)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, stop_event.set)
    gevent.signal_handler(signal.SIGHUP, change_settings, node, reread)
    stop_event.wait()
    if clashes and clashes[-1][1] - clashes[0][1] > settings.bounds.propagation:
        server.stop(timeout=0)
        raise NameTaken(name=settings.name, told_by=clashes[-1][0])
    drain(node, servers)


def change_settings(node, reread):
    """Take changed seeds; everything else needs a restart, and faulty settings change nothing."""
    try:
        node.find("nifty").seeds = reread().seeds
    except* QuillringError as group:
        node.log("error", "settings not changed: %s", group.exceptions)
