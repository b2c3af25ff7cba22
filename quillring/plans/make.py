"""Making a plan from an intent and a view of the fleet: pure, changes nothing."""

from quillring.kernel.errors import NotFound
from quillring.kernel.registry import Registry
from quillring.quorum.parts import GROUP_SIZE

INTENTS = Registry("intent")


class View:
    """What a plan is made against: layout, groups, stores, replicas, nodes as a node sees them."""

    __slots__ = ("version", "configuration", "groups", "stores", "replicas", "nodes")

    def __init__(self, version, configuration, groups, stores, replicas, nodes):
        self.version = version
        self.configuration = configuration
        self.groups = groups
        self.stores = stores
        self.replicas = replicas
        self.nodes = nodes


def make_plan(view, intent):
    """Return {steps, obstacles, moves, against} for an intent, or raise for unknown targets."""
    steps, obstacles, moves = INTENTS.find(intent["kind"])(view, intent)
    return {
        "intent": intent,
        "target": f"{intent['kind']} {intent['target']}",
        "steps": steps,
        "obstacles": obstacles,
        "moves": moves,
        "against": {"version": view.version},
    }


def configuration_step(text, change):
    """Return a step that adopts a partial layout."""
    return {"do": "layout", "text": text, "change": change}


def wait_step(text, until, target):
    """Return a step that waits until a condition holds."""
    return {"do": "wait", "text": text, "until": until, "target": target}


@INTENTS.entry("empty_domain")
def plan_empty_zone(view, intent):
    """Empty a domain of new work, then wait until what is under way there has ended."""
    zone = intent["target"]
    if zone not in view.configuration["domains"]:
        raise NotFound(field="target", domain=zone)
    leaving = [r for r in view.replicas if r["domain"] == zone]
    obstacles = []
    for service in sorted({r["service"] for r in leaving}):
        remaining = [
            r
            for r in view.replicas
            if r["service"] == service
            and r["domain"] != zone
            and not view.configuration["domains"].get(r["domain"], {}).get("emptied")
        ]
        busy = sum(r["busy"] for r in view.replicas if r["service"] == service)
        room = sum(r["slots"] for r in remaining)
        if room <= busy:
            obstacles.append(
                {
                    "consequence": "less_room",
                    "text": f"{service}: {busy} busy, {room} slots remain",
                }
            )
    staying_zones = [
        d
        for d, row in view.configuration["domains"].items()
        if d != zone and not row.get("emptied")
    ]
    if not staying_zones:
        obstacles.append({"consequence": None, "text": "no domain would remain"})
    inside = {n: role for n, (role, d) in sorted(view.nodes.items()) if d == zone}
    for role in ("edge", "core"):
        staying = [n for n, (r, d) in view.nodes.items() if r == role and d in staying_zones]
        if role in inside.values() and not staying:
            obstacles.append({"consequence": f"no_{role}", "text": f"no {role} would remain"})
    steps = [
        configuration_step(f"give {zone} no new work", {"domains": {zone: {"emptied": True}}}),
        wait_step(f"wait until {zone} is idle", "domain_idle", zone),
    ]
    moves = [f"{r['name']}: {r['busy']} under way end, new ones go elsewhere" for r in leaving]
    return steps, obstacles, [*moves, *(f"{n}: {EMPTIED[role]}" for n, role in inside.items())]


EMPTIED = {
    "edge": "not ready, takes no new inquiries and holds no new journals",
    "core": "its parts, lots and journals go to cores elsewhere",
    "store": "stays a member of its parts; retire it to move them",
}


@INTENTS.entry("refill_domain")
def plan_refill_zone(view, intent):
    """Let a domain get work again."""
    zone = intent["target"]
    if zone not in view.configuration["domains"]:
        raise NotFound(field="target", domain=zone)
    change = {"domains": {zone: {"emptied": False}}}
    return [configuration_step(f"let {zone} get work again", change)], [], []


@INTENTS.entry("move_entry")
def plan_move_route(view, intent):
    """Point an entry at another service of the same kind."""
    route_name, service = intent["target"], intent.get("service")
    if route_name not in view.configuration["entries"]:
        raise NotFound(field="target", entry=route_name)
    if service not in view.configuration["services"]:
        raise NotFound(field="service", service=service)
    old_service = view.configuration["entries"][route_name]["service"]
    obstacles = []
    if (
        view.configuration["services"][service]["kind"]
        != view.configuration["services"][old_service]["kind"]
    ):
        obstacles.append({"consequence": None, "text": f"{service} is of another kind"})
    if not [r for r in view.replicas if r["service"] == service]:
        obstacles.append({"consequence": "no_replica", "text": f"{service} has no replica"})
    change = {"entries": {route_name: {"service": service}}}
    moves = [f"{route_name}: from {old_service} to {service}"]
    return [configuration_step(f"move {route_name} to {service}", change)], obstacles, moves


@INTENTS.entry("retire_store")
def plan_retire_store(view, intent):
    """Take a store machine out of every part, one member at a time."""
    name = intent["target"]
    if name not in view.stores:
        raise NotFound(field="target", store=name)
    parts = [part for part, group in sorted(view.groups.items()) if name in group]
    retired = {
        n for n, row in view.configuration.get("stores", {}).items() if row.get("retired")
    } | {name}
    zones = {zone for n, zone in view.stores.items() if n not in retired}
    obstacles, is_short = [], len(zones) < GROUP_SIZE
    if is_short and parts:
        obstacles.append(
            {
                "consequence": "part_under_three",
                "text": f"stores in {len(zones)} domains remain for {', '.join(parts)}",
            }
        )
    row = {"retired": True, **({"forced": True} if is_short else {})}
    steps = [
        configuration_step(f"retire {name}", {"stores": {name: row}}),
        wait_step(f"wait until no part has {name}", "store_unused", name),
    ]
    goal = "goes on with two members" if is_short else "a spare store takes its place"
    return steps, obstacles, [f"{part}: {name} leaves, {goal}" for part in parts]


@INTENTS.entry("restore_store")
def plan_restore_store(view, intent):
    """Let a retired store machine be a member again where one is missing."""
    name = intent["target"]
    if name not in view.configuration.get("stores", {}):
        raise NotFound(field="target", store=name)
    return [configuration_step(f"restore {name}", {"stores": {name: None}})], [], []
