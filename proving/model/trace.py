"""Traces of broken invariants: saved as JSON, replayed and shortened."""

import json
from contextlib import nullcontext
from typing import NamedTuple

from proving.model.bugs import find_bug
from proving.model.errors import BadTrace, BrokenInvariant
from proving.model.explore import Finding
from proving.model.scopes import Bounds, find_world, with_bounds
from proving.model.system import System

FIELDS = {"world": str, "bug": (str, type(None)), "bounds": dict, "choices": list}
UNLIMITED_BOUNDS = Bounds(*[1 << 20] * len(Bounds._fields))._asdict()


class ReplayResult(NamedTuple):
    """Result of a replay: the broken invariant or None, and the choices taken and skipped."""

    invariant: str | None
    taken: list
    skipped: list


def replay_choices(world, choices):
    """Replay choices on the real state machines; choices that aren't possible are skipped."""
    system = System(with_bounds(world, UNLIMITED_BOUNDS))
    state, taken, skipped = system.initial_state(), [], []
    for description in choices:
        choice = match_choice(system, state, description)
        if choice is None:
            skipped.append(description)
            continue
        taken.append(description)
        try:
            state = system.successor(state, choice) or state
        except BrokenInvariant as error:
            return ReplayResult(error.detail["invariant"], taken, skipped)
    return ReplayResult(None, taken, skipped)


def match_choice(system, state, description):
    """Return the choice that a trace describes, or None if it isn't possible in this state."""
    for choice in system.choices(state):
        if (
            choice.verb == description[0]
            and choice.node == description[1]
            and system.describe(choice) == description
        ):
            return choice
    return None


def shorten(world, finding):
    """Return the finding without the choices that aren't needed to break its invariant."""
    choices, position = list(finding.choices), 0
    while position < len(choices):
        remaining = choices[:position] + choices[position + 1 :]
        result = replay_choices(world, remaining)
        if result.invariant == finding.invariant:
            choices = result.taken
        else:
            position += 1
    return Finding(finding.invariant, finding.detail, choices)


def save_trace(path, world, bug, finding):
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


def load_trace(path):
    """Read a trace file; raise BadTrace, which gives the reason, if it is malformed."""
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


def replay_trace(trace, with_bug=True):
    """Replay a loaded trace, with its seeded bug or on the unmodified product."""
    world, bug = find_world(trace["world"]), trace["bug"]
    with find_bug(bug).patch() if bug and with_bug else nullcontext():
        return replay_choices(world, trace["choices"])
