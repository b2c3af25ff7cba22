"""Editions: the operators' own numbered forwards, services and limits, whole or amended."""

import hashlib
import json

import cbor2

from quillring.kernel.errors import Conflict
from quillring.quorum.commands import COMMANDS, QUERIES
from quillring.rollout.commands import BadLayout
from quillring.rollout.schema import EMPTY, EXTRAS, FORWARD, LIMITS, RAW_SERVICE, item_faults

KEPT_EDITIONS = 256
SECTIONS = (("forwards", FORWARD), ("services", RAW_SERVICE))


@COMMANDS.entry("edition.adopt")
def adopt_edition(state, command):
    """Adopt an edition made on top of the current one; one taken before is told as taken."""
    digest, editions = digest_of(command), state.get("editions", {})
    number = command["edition"]
    if editions.get(str(number)) == digest:
        return state, {"edition": number, "repeated": True}
    layout = state["layout"] or EMPTY
    current_number = layout.get("edition", 0)
    if command["base_edition"] != current_number:
        raise Conflict(winning_edition=current_number, base_edition=command["base_edition"])
    faults = [*number_faults(number, current_number), *command_faults(command, layout)]
    if faults:
        raise BadLayout(faults=faults)
    new_layout = lay_over(layout, command)
    faults = cross_faults(new_layout)
    if faults:
        raise BadLayout(faults=faults)
    kept_editions = dict([*editions.items(), (str(number), digest)][-KEPT_EDITIONS:])
    new_state = {
        **state,
        "layout": new_layout,
        "version": state["version"] + 1,
        "editions": kept_editions,
    }
    return new_state, {"edition": number}


@QUERIES.entry("edition")
def show_edition(state, query):
    """Return the number of the current edition (0: none yet) and its layout."""
    layout = state["layout"] or EMPTY
    return {"edition": layout.get("edition", 0), "layout": layout}


def digest_of(command):
    """Return the digest of what an edition was sent as; its id and its way don't count."""
    sent = {name: value for name, value in command.items() if name not in ("id", "do")}
    return hashlib.sha256(json.dumps(sent, sort_keys=True).encode()).hexdigest()[:24]


def number_faults(number, current_number):
    """Return what speaks against the number of an edition."""
    if isinstance(number, bool) or not isinstance(number, int):
        return [{"field": "edition", "fault": "not a whole number"}]
    if number <= current_number:
        return [{"field": "edition", "fault": f"not above the current one, {current_number}"}]
    return []


def command_faults(command, layout):
    """Return what speaks against the items that a command brings, each by itself.

    An item that is in force, byte for byte, was found valid before and is not checked again.
    """
    faults = []
    for section, validator in SECTIONS:
        former = layout.get(section) or {}
        new_items = {
            name: item
            for name, item in command[section].items()
            if name not in former or cbor2.dumps(item) != cbor2.dumps(former[name])
        }
        faults.extend(item_faults(section, validator, new_items))
    if command["limits"] is not None:
        faults.extend(item_faults("limits", LIMITS, {"": command["limits"]}))
    faults.extend(item_faults("extras", EXTRAS, {"": command.get("extras") or {}}))
    return faults


def lay_over(layout, command):
    """Return the layout with an edition in the place of the former one, or amending it."""
    removed = command["removed"] or {}
    sections = {}
    for section, _ in SECTIONS:
        former = {} if command["whole"] else layout.get(section, {})
        gone_names = set(removed.get(section, ()))
        kept = {name: item for name, item in former.items() if name not in gone_names}
        sections[section] = {**kept, **command[section]}
    former = {} if command["whole"] else layout
    limits = former.get("limits") if command["limits"] is None else command["limits"]
    return {
        **layout,
        **sections,
        "edition": command["edition"],
        "limits": limits,
        "extras": {**former.get("extras", {}), **(command.get("extras") or {})},
    }


def cross_faults(layout):
    """Return what speaks against an edition across its items."""
    faults, places = [], {}
    for name, forward in layout["forwards"].items():
        field = f"forwards.{name}"
        unknown_names = sorted({s for s, _ in forward["split"]} - set(layout["services"]))
        if unknown_names:
            faults.append({"field": f"{field}.split", "fault": f"unknown {unknown_names[0]}"})
        if sum(weight for _, weight in forward["split"]) <= 0:
            faults.append({"field": f"{field}.split", "fault": "weights add up to 0"})
        place = (forward["host"].lower(), forward["prefix"])
        if place in places:
            fault = f"same host and prefix as {places[place]}"
            faults.append({"field": f"{field}.prefix", "fault": fault})
        places[place] = name
    for name, entry in layout["entries"].items():
        if entry["service"] not in layout["services"]:
            field = f"entries.{name}.service"
            faults.append({"field": field, "fault": f"unknown {entry['service']}"})
    return faults
