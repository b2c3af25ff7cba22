"""Traces of broken rules: saved as JSON, played again, and made shorter."""

import json
from contextlib import nullcontext
from typing import NamedTuple

from proving.model.bugs import find_bug
from proving.model.errors import BadTrace, BrokenInvariant
from proving.model.explore import Finding
from proving.model.scopes import Bounds, find_world, with_bounds
from proving.model.system import System

FIELDS = {"world": str, "bug": (str, type(None)), "bounds": dict, "choices": list}
BOUNDLESS = Bounds(*[1 << 20] * len(Bounds._fields))._asdict()


class Played(NamedTuple):
    """What came of a trace: the broken rule or None, and the choices that could be taken."""

    invariant: str | None
    taken: list
    skipped: list


def play(world, choices):
    """Play choices on the real state machines; those that can't be taken are skipped."""
    system = System(with_bounds(world, BOUNDLESS))
    state, taken, skipped = system.first_state(), [], []
    for told in choices:
        choice = find_choice(system, state, told)
        if choice is None:
            skipped.append(told)
            continue
        taken.append(told)
        try:
            state = system.follow(state, choice) or state
        except BrokenInvariant as error:
            return Played(error.detail["invariant"], taken, skipped)
    return Played(None, taken, skipped)


def find_choice(system, state, told):
    """Return the choice that a trace tells of, or None where there is none such."""
    for choice in system.choices(state):
        if choice.verb == told[0] and choice.node == told[1] and system.describe(choice) == told:
            return choice
    return None


def shorten(world, finding):
    """Return the finding without the choices that it doesn't need."""
    choices, place = list(finding.choices), 0
    while place < len(choices):
        fewer = choices[:place] + choices[place + 1 :]
        played = play(world, fewer)
        if played.invariant == finding.invariant:
            choices = played.taken
        else:
            place += 1
    return Finding(finding.invariant, finding.detail, choices)


def save(path, world, bug, finding):
    """Write a finding as a trace file."""
    trace = {
        "world": world.name,
        "bug": bug,
        "bounds": world.bounds._asdict(),
        "invariant": finding.invariant,
        "choices": finding.choices,
    }
    with open(path, "w", encoding="utf-8") as trace_file:
        json.dump(trace, trace_file, indent=1)
        trace_file.write("\n")


def load(path):
    """Read a trace file; BadTrace tells what is wrong with it."""
    try:
        with open(path, encoding="utf-8") as trace_file:
            trace = json.load(trace_file)
    except (OSError, ValueError) as error:
        raise BadTrace(file=str(path), reason=str(error)) from error
    if not isinstance(trace, dict):
        raise BadTrace(file=str(path), reason="not an object")
    for name, kinds in FIELDS.items():
        if not isinstance(trace.get(name), kinds):
            raise BadTrace(file=str(path), field=name, reason="missing or of a wrong type")
    for number, choice in enumerate(trace["choices"]):
        is_choice = isinstance(choice, list) and len(choice) == 3
        if not is_choice or not all(isinstance(part, str) for part in choice):
            raise BadTrace(file=str(path), choice=number, reason="not [verb, node, text]")
    return trace


def replay(trace, with_bug=True):
    """Play a loaded trace, with the bug that it was found with or on the product as it is."""
    world, bug = find_world(trace["world"]), trace["bug"]
    with find_bug(bug).patch() if bug and with_bug else nullcontext():
        return play(world, trace["choices"])
