"""The last fault of a run on a local fleet, and how long the service takes to recover from it."""

import json
import random
import time

import gevent

from proving.tools import callers

MAX_RECOVERY_SECONDS = 12


def all_edges_serve(fleet):
    """Return whether every edge serves a stream and accepts a lot now."""
    probe_record = callers.Record()
    entries = json.loads((fleet.example / "layout.json").read_text())["entries"]
    stream_entry = next(e for e in ("wayfinding", "price-hints") if e in entries)
    lot_entry = next(e for e in ("gate-notices", "fraud-reports") if e in entries)
    for name in fleet.names("edge"):
        edge, rng = [fleet.http(name)], random.Random(name)
        callers.stream_call(edge, rng, probe_record, time.monotonic, stream_entry, "probe", 3, 0.0)
        body = {"entry": lot_entry, "items": ["one"], "key": f"probe-{time.monotonic_ns()}"}
        status, _ = callers.ask(edge[0], "POST", "/v1/lots", body, "probe")
        probe_record.note("probe", "complete" if status == 200 else "refused")
    return set(probe_record.outcomes) == {("probe", "complete")}


def closing_fault(fleet, record, note):
    """Kill a core and a store, cut three links, then undo it all; measure the time to recover."""
    fleet.kill("core-1")
    fleet.kill("store-2")
    fleet.cut(("core-3", "store-3"), ("edge-2", "core-3"), ("edge-2", "store-1"))
    gevent.sleep(6)
    fleet.cut()
    fleet.start("core-1")
    fleet.start("store-2")
    healed_at, consecutive_good_rounds = time.monotonic(), 0
    while consecutive_good_rounds < 3 and time.monotonic() - healed_at < 60:
        consecutive_good_rounds = consecutive_good_rounds + 1 if all_edges_serve(fleet) else 0
    recovery_seconds = round(time.monotonic() - healed_at, 2)
    note(f"every edge served three rounds, {recovery_seconds} s after the closing fault")
    if recovery_seconds > MAX_RECOVERY_SECONDS:
        record.violate(f"service took {recovery_seconds} s to return")
