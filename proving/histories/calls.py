"""Converts orders of a history to calls of the product, and outcomes of calls to answers."""

import hashlib

from proving.histories.operations import (
    CONFIGURATION,
    STORES,
    AcceptLot,
    Adopt,
    ConfigurationSeen,
    Conflicting,
    Done,
    EndLot,
    FetchConfiguration,
    Invalid,
    MarkZone,
    Missing,
    NotTaken,
    ReadResults,
    ReadStores,
    ReadZone,
    RestoreStore,
    ResultsSeen,
    RetireStore,
    StoresSeen,
    Unknown,
    ZoneSeen,
)
from proving.sim.raw_replicas import SERVICE
from quillring.kernel.errors import Conflict, NotFound, Refused
from quillring.lots.http_requests import api
from quillring.lots.http_requests.lot_table import HeldTooMuch, QuotaExceeded
from quillring.quorum.parts import CONFIG_PART
from quillring.rollout.commands import BadConfiguration
from quillring.rollout.messages import StoreOrder, ZoneOrder
from quillring.rollout.operator_orders import retire_store
from quillring.rollout.orders import StaleOrder, submit_order

ATTEMPT_SECONDS = 0.8
LOT_HOST, LOT_ROUTE_NAME = "lots.example", "bulk"
ZONES = ("north", "east", "south", "west")
LOT_ROUTE = {
    "host": LOT_HOST,
    "prefix": "/bulk/",
    "kind": "lot",
    "split": [[SERVICE, 1]],
    "rounds": 3,
    "goal_ms": 400,
    "due_ms": 3_600_000,
    "retain_ms": 3_600_000,
    "most_tokens": 400,
}
SERVICE_SETTINGS = {"kind": "raw", "warm_rate": 10, "warm_up_ms": 0, "engine": {"slots": 8}}
UNKNOWN_SERVICE = "nowhere"


def route_for_item(name, value, service=SERVICE):
    """Return a route whose `hold_ms` is the value of a configuration item."""
    return {
        "host": "items.example",
        "prefix": f"/{name}/",
        "kind": "repeatable",
        "split": [[service, 1]],
        "hold_ms": value,
    }


def adoption_command(order, command_id):
    """Return the product's command for an Adopt order.

    If the content is to be invalid, it includes a route to a service that does not exist.
    """
    routes = {name: route_for_item(name, value) for name, value in order.items}
    if not order.is_valid:
        routes["bad"] = route_for_item("bad", 1, UNKNOWN_SERVICE)
    return {
        "do": "edition.adopt",
        "id": command_id,
        "edition": order.number,
        "base_edition": order.base,
        "whole": order.is_whole,
        "services": {SERVICE: SERVICE_SETTINGS},
        "forwards": {LOT_ROUTE_NAME: LOT_ROUTE, **routes},
        "limits": None,
        "removed": {"forwards": list(order.removed)} if order.removed else None,
        "extras": None,
    }


def make_call(stage, node, target, order, attempt_seconds=ATTEMPT_SECONDS):
    """Return the coroutine that executes an order at a node.

    The node retries for `attempt_seconds`; calls about lots use the timeouts of the product's API.
    """
    ownership, name = node.find("ownership"), target.partition("/")[2]
    match order:
        case Adopt():
            command = adoption_command(order, f"{node.runtime.random.getrandbits(96):024x}")
            return ownership.submit(CONFIG_PART, command, attempt_seconds)
        case FetchConfiguration():
            return ownership.read(CONFIG_PART, {"ask": "edition"}, attempt_seconds)
        case MarkZone():
            zone_order = ZoneOrder(name, order.is_emptied, includes_nodes=False)
            return submit_order(node, zone_order, attempt_seconds)
        case RetireStore():
            return retire_store(node, order.store, attempt_seconds)
        case RestoreStore():
            return submit_order(node, StoreOrder(order.store, is_retired=False), attempt_seconds)
        case AcceptLot():
            items = stage.items(name, order.digest, order.count)
            return api.submit_lot(node, LOT_ROUTE_NAME, name, items)
        case ReadResults():
            return api.read_results(node, LOT_HOST, name, order.start)
        case EndLot():
            return api.end_lot(node, LOT_HOST, name)
    raise ValueError(f"no call is defined for the order {order}")


def answer_for_outcome(order, value, error):
    """Return the answer to an order, given the value or the error of its call.

    An error that does not prove that the order had no effect makes the answer Unknown.
    """
    match error:
        case None if value is None and not isinstance(order, RetireStore):
            return Unknown()
        case None:
            return answer_for_results(value) if isinstance(order, ReadResults) else Done()
        case Conflict():
            return Conflicting(error.detail.get("winning_edition"))
        case BadConfiguration():
            return Invalid()
        case NotFound():
            is_submission = isinstance(order, AcceptLot)
            return NotTaken("no such route") if is_submission else Missing()
        case Refused() | QuotaExceeded() | HeldTooMuch() | StaleOrder():
            return NotTaken(str(error))
    return Unknown()


def answer_for_results(value):
    """Return the answer to a read of results, with a digest in place of each result's text."""
    rows = tuple(
        (item, state, hashlib.sha256(text).hexdigest()[:12])
        for item, state, text in value["results"]
    )
    return ResultsSeen(value["items"], rows)


def split_fetch(value, error, zones=ZONES):
    """Return [(object, order, answer)] for the reads that one read of the config part combines.

    It reads the configuration, the retired stores and each of the zones.
    """
    orders = [
        (CONFIGURATION, FetchConfiguration()),
        (STORES, ReadStores()),
        *((f"zone/{zone}", ReadZone()) for zone in zones),
    ]
    if error is not None or value is None:
        answer = answer_for_outcome(FetchConfiguration(), value, error)
        return [(*row, answer) for row in orders]
    configuration = value["layout"]
    routes, store_orders = configuration.get("forwards") or {}, configuration.get("stores") or {}
    items = tuple(
        sorted((item, route["hold_ms"]) for item, route in routes.items() if item != LOT_ROUTE_NAME)
    )
    retired = tuple(sorted(name for name, order in store_orders.items() if order.get("retired")))
    ordered_zones = configuration.get("domains") or {}
    answers = [
        ConfigurationSeen(value["edition"], items),
        StoresSeen(retired),
        *(ZoneSeen(bool(ordered_zones.get(zone, {}).get("emptied"))) for zone in zones),
    ]
    return [(*row, answer) for row, answer in zip(orders, answers, strict=True)]
