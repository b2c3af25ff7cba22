"""Versions of forwards, services and limits, numbered by operators: complete or amendments."""

from __future__ import annotations

from typing import TYPE_CHECKING

import cbor2

from quillring.kernel.errors import Conflict
from quillring.quorum.commands import COMMANDS, QUERIES
from quillring.rollout.commands import BadConfiguration
from quillring.rollout.messages import (
    ADOPT_VERSION,
    AdoptVersion,
    CurrentVersion,
    digest_of_json,
)
from quillring.rollout.schema import (
    EMPTY_CONFIGURATION,
    EXTRAS_VALIDATOR,
    FORWARD_VALIDATOR,
    LIMITS_VALIDATOR,
    RAW_SERVICE_VALIDATOR,
    Fault,
    item_faults,
)

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.types import WireMap

MAX_RECORDED_VERSIONS = 256
VERSIONED_SECTIONS = (("forwards", FORWARD_VALIDATOR), ("services", RAW_SERVICE_VALIDATOR))


@COMMANDS.entry(ADOPT_VERSION)
def adopt_version(state: WireMap, command: WireMap) -> tuple[WireMap, WireMap]:
    """Adopt a version that is based on the current one.

    Idempotent: a repeat of one of the last MAX_RECORDED_VERSIONS is answered with `repeated`.
    Raises Conflict for another base version, BadConfiguration for faults.
    """
    adoption = AdoptVersion.from_wire(command)
    digest, digests = command_digest(command), state.get("editions", {})
    number = adoption.number
    if digests.get(str(number)) == digest:
        return state, {"edition": number, "repeated": True}
    configuration = state["layout"] or EMPTY_CONFIGURATION
    current_number = configuration.get("edition", 0)
    if adoption.base_number != current_number:
        raise Conflict(winning_edition=current_number, base_edition=adoption.base_number)
    faults = [*number_faults(number, current_number), *command_faults(adoption, configuration)]
    if faults:
        raise BadConfiguration.from_faults(faults)
    new_configuration = apply_version(configuration, adoption)
    faults = cross_item_faults(new_configuration)
    if faults:
        raise BadConfiguration.from_faults(faults)
    recorded_digests = dict([*digests.items(), (str(number), digest)][-MAX_RECORDED_VERSIONS:])
    new_state = {
        **state,
        "layout": new_configuration,
        "version": state["version"] + 1,
        "editions": recorded_digests,
    }
    return new_state, {"edition": number}


@QUERIES.entry("edition")
def show_configuration_version(state: WireMap, query: WireMap) -> WireMap:
    """Return the number of the current version (0 if there is none) and the configuration."""
    configuration = state["layout"] or EMPTY_CONFIGURATION
    return CurrentVersion(configuration.get("edition", 0), configuration).to_wire()


def command_digest(command: WireMap) -> str:
    """Return the digest of a command, without its id and its kind (`do`)."""
    return digest_of_json(
        {name: value for name, value in command.items() if name not in ("id", "do")}
    )


def number_faults(number: Any, current_number: int) -> list[Fault]:
    """Return the faults of a version number: it must be an integer above the current one."""
    if isinstance(number, bool) or not isinstance(number, int):
        return [Fault("edition", "not a whole number")]
    if number <= current_number:
        return [Fault("edition", f"not above the current one, {current_number}")]
    return []


def command_faults(adoption: AdoptVersion, configuration: WireMap) -> list[Fault]:
    """Return the faults of the items in a command, each item validated separately.

    An item whose encoding equals that of the current one was validated before and is skipped.
    """
    faults = []
    for section, validator in VERSIONED_SECTIONS:
        current_items = configuration.get(section) or {}
        new_items = {
            name: item
            for name, item in adoption.items(section).items()
            if name not in current_items or cbor2.dumps(item) != cbor2.dumps(current_items[name])
        }
        faults.extend(item_faults(section, validator, new_items))
    if adoption.limits is not None:
        faults.extend(item_faults("limits", LIMITS_VALIDATOR, {"": adoption.limits}))
    faults.extend(item_faults("extras", EXTRAS_VALIDATOR, {"": adoption.extras}))
    return faults


def apply_version(configuration: WireMap, adoption: AdoptVersion) -> WireMap:
    """Return the configuration with the previous version replaced or amended by a new one."""
    sections = {}
    for section, _ in VERSIONED_SECTIONS:
        base = {} if adoption.is_complete else configuration.get(section, {})
        removed_names = set(adoption.removed.get(section, ()))
        retained_items = {name: item for name, item in base.items() if name not in removed_names}
        sections[section] = {**retained_items, **adoption.items(section)}
    base = {} if adoption.is_complete else configuration
    limits = base.get("limits") if adoption.limits is None else adoption.limits
    return {
        **configuration,
        **sections,
        "edition": adoption.number,
        "limits": limits,
        "extras": {**base.get("extras", {}), **adoption.extras},
    }


def cross_item_faults(configuration: WireMap) -> list[Fault]:
    """Return the faults across items: unknown services, zero weight sums, duplicate addresses."""
    faults: list[Fault] = []
    forwards_by_address: dict[tuple[str, str], str] = {}
    for name, forward in configuration["forwards"].items():
        field = f"forwards.{name}"
        unknown_names = sorted({s for s, _ in forward["split"]} - set(configuration["services"]))
        if unknown_names:
            faults.append(Fault(f"{field}.split", f"unknown {unknown_names[0]}"))
        if sum(weight for _, weight in forward["split"]) <= 0:
            faults.append(Fault(f"{field}.split", "weights add up to 0"))
        address = (forward["host"].lower(), forward["prefix"])
        if address in forwards_by_address:
            reason = f"same host and prefix as {forwards_by_address[address]}"
            faults.append(Fault(f"{field}.prefix", reason))
        forwards_by_address[address] = name
    for name, route in configuration["entries"].items():
        if route["service"] not in configuration["services"]:
            faults.append(Fault(f"entries.{name}.service", f"unknown {route['service']}"))
    return faults
