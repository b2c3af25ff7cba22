"""From an order to a call of the product, and from the call's outcome to an answer."""

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

TRY_SECONDS = 0.8
HOST, FORWARD = "lots.example", "bulk"
ZONES = ("north", "east", "south", "west")
LOT_FORWARD = {
    "host": HOST,
    "prefix": "/bulk/",
    "kind": "lot",
    "split": [[SERVICE, 1]],
    "rounds": 3,
    "goal_ms": 400,
    "due_ms": 3_600_000,
    "retain_ms": 3_600_000,
    "most_tokens": 400,
}
SERVICE_ITEM = {"kind": "raw", "warm_rate": 10, "warm_up_ms": 0, "engine": {"slots": 8}}
UNKNOWN_SERVICE = "nowhere"


def forward_of(name, value, service=SERVICE):
    """Return a route whose time bound carries the value of an item."""
    return {
        "host": "items.example",
        "prefix": f"/{name}/",
        "kind": "repeatable",
        "split": [[service, 1]],
        "hold_ms": value,
    }


def command_of(order, command_id):
    """Return the product's command for an order to adopt a configuration."""
    forwards = {name: forward_of(name, value) for name, value in order.items}
    if not order.is_valid:
        forwards["bad"] = forward_of("bad", 1, UNKNOWN_SERVICE)
    return {
        "do": "edition.adopt",
        "id": command_id,
        "edition": order.number,
        "base_edition": order.base,
        "whole": order.is_whole,
        "services": {SERVICE: SERVICE_ITEM},
        "forwards": {FORWARD: LOT_FORWARD, **forwards},
        "limits": None,
        "removed": {"forwards": list(order.removed)} if order.removed else None,
        "extras": None,
    }


def make_script(stage, node, target, order, seconds=TRY_SECONDS):
    """Return the coroutine that sends an order at a node, which tries it for so many seconds."""
    ownership, name = node.find("ownership"), target.partition("/")[2]
    match order:
        case Adopt():
            command = command_of(order, f"{node.runtime.random.getrandbits(96):024x}")
            return ownership.submit(CONFIG_PART, command, seconds)
        case FetchConfiguration():
            return ownership.read(CONFIG_PART, {"ask": "edition"}, seconds)
        case MarkZone():
            zone_order = ZoneOrder(name, order.is_emptied, includes_nodes=False)
            return submit_order(node, zone_order, seconds)
        case RetireStore():
            return retire_store(node, order.store, seconds)
        case RestoreStore():
            return submit_order(node, StoreOrder(order.store, is_retired=False), seconds)
        case AcceptLot():
            items = stage.items(name, order.digest, order.count)
            return api.submit_lot(node, FORWARD, name, items)
        case ReadResults():
            return api.read_results(node, HOST, name, order.start)
        case EndLot():
            return api.end_lot(node, HOST, name)
    raise ValueError(f"no call for {order}")


def answer_of(order, value, error):
    """Return the answer to an order, given its call's value or error."""
    match error:
        case None if value is None and not isinstance(order, RetireStore):
            return Unknown()
        case None:
            return results_seen(value) if isinstance(order, ReadResults) else Done()
        case Conflict():
            return Conflicting(error.detail.get("winning_edition"))
        case BadConfiguration():
            return Invalid()
        case NotFound():
            is_handed_in = isinstance(order, AcceptLot)
            return NotTaken("no such route") if is_handed_in else Missing()
        case Refused() | QuotaExceeded() | HeldTooMuch() | StaleOrder():
            return NotTaken(str(error))
    return Unknown()


def results_seen(value):
    """Return the answer to a read of results; texts count by their digests."""
    rows = tuple(
        (item, state, hashlib.sha256(text).hexdigest()[:12])
        for item, state, text in value["results"]
    )
    return ResultsSeen(value["items"], rows)


def parts_of_fetch(value, error, zones=ZONES):
    """Return [(object, order, answer)] that one read of the configuration part tells."""
    orders = [
        (CONFIGURATION, FetchConfiguration()),
        (STORES, ReadStores()),
        *((f"zone/{zone}", ReadZone()) for zone in zones),
    ]
    if error is not None or value is None:
        answer = answer_of(FetchConfiguration(), value, error)
        return [(*row, answer) for row in orders]
    configuration = value["layout"]
    forwards, store_orders = configuration.get("forwards") or {}, configuration.get("stores") or {}
    items = tuple(sorted((n, f["hold_ms"]) for n, f in forwards.items() if n != FORWARD))
    retired = tuple(sorted(name for name, order in store_orders.items() if order.get("retired")))
    ordered_zones = configuration.get("domains") or {}
    answers = [
        ConfigurationSeen(value["edition"], items),
        StoresSeen(retired),
        *(ZoneSeen(bool(ordered_zones.get(zone, {}).get("emptied"))) for zone in zones),
    ]
    return [(*row, answer) for row, answer in zip(orders, answers, strict=True)]
