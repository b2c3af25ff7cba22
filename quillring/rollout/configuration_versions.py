"""Editions: the operators' own numbered forwards, services and limits, whole or amended."""

import hashlib
import json

import cbor2

from quillring.kernel.errors import Conflict
from quillring.quorum.commands import COMMANDS, QUERIES
from quillring.rollout.commands import BadConfiguration
from quillring.rollout.schema import EMPTY, EXTRAS, FORWARD, LIMITS, RAW_SERVICE, item_faults

KEPT_VERSIONS = 256
SECTIONS = (("forwards", FORWARD), ("services", RAW_SERVICE))


@COMMANDS.entry("edition.adopt")
def adopt_version(state, command):
    """Adopt an edition made on top of the current one; one taken before is told as taken."""
    digest, configuration_versions = digest_of(command), state.get("editions", {})
    number = command["edition"]
    if configuration_versions.get(str(number)) == digest:
        return state, {"edition": number, "repeated": True}
    configuration = state["layout"] or EMPTY
    current_number = configuration.get("edition", 0)
    if command["base_edition"] != current_number:
        raise Conflict(winning_edition=current_number, base_edition=command["base_edition"])
    faults = [*number_faults(number, current_number), *command_faults(command, configuration)]
    if faults:
        raise BadConfiguration(faults=faults)
    new_configuration = lay_over(configuration, command)
    faults = cross_faults(new_configuration)
    if faults:
        raise BadConfiguration(faults=faults)
    kept_versions = dict([*configuration_versions.items(), (str(number), digest)][-KEPT_VERSIONS:])
    new_state = {
        **state,
        "layout": new_configuration,
        "version": state["version"] + 1,
        "editions": kept_versions,
    }
    return new_state, {"edition": number}


@QUERIES.entry("edition")
def show_configuration_version(state, query):
    """Return the number of the current edition (0: none yet) and its layout."""
    configuration = state["layout"] or EMPTY
    return {"edition": configuration.get("edition", 0), "layout": configuration}


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


def command_faults(command, configuration):
    """Return what speaks against the items that a command brings, each by itself.

    An item that is in force, byte for byte, was found valid before and is not checked again.
    """
    faults = []
    for section, validator in SECTIONS:
        former = configuration.get(section) or {}
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


def lay_over(configuration, command):
    """Return the layout with an edition in the place of the former one, or amending it."""
    removed = command["removed"] or {}
    sections = {}
    for section, _ in SECTIONS:
        former = {} if command["whole"] else configuration.get(section, {})
        gone_names = set(removed.get(section, ()))
        kept = {name: item for name, item in former.items() if name not in gone_names}
        sections[section] = {**kept, **command[section]}
    former = {} if command["whole"] else configuration
    limits = former.get("limits") if command["limits"] is None else command["limits"]
    return {
        **configuration,
        **sections,
        "edition": command["edition"],
        "limits": limits,
        "extras": {**former.get("extras", {}), **(command.get("extras") or {})},
    }


def cross_faults(configuration):
    """Return what speaks against an edition across its items."""
    faults, places = [], {}
    for name, forward in configuration["forwards"].items():
        field = f"forwards.{name}"
        unknown_names = sorted({s for s, _ in forward["split"]} - set(configuration["services"]))
        if unknown_names:
            faults.append({"field": f"{field}.split", "fault": f"unknown {unknown_names[0]}"})
        if sum(weight for _, weight in forward["split"]) <= 0:
            faults.append({"field": f"{field}.split", "fault": "weights add up to 0"})
        place = (forward["host"].lower(), forward["prefix"])
        if place in places:
            fault = f"same host and prefix as {places[place]}"
            faults.append({"field": f"{field}.prefix", "fault": fault})
        places[place] = name
    for name, route in configuration["entries"].items():
        if route["service"] not in configuration["services"]:
            field = f"entries.{name}.service"
            faults.append({"field": field, "fault": f"unknown {route['service']}"})
    return faults
