"""Registries of the commands and queries of the replicated state machine, all pure functions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import QuillringError
from quillring.kernel.registry import Registry

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.types import WireMap
    from quillring.quorum.messages import Batch
    from quillring.quorum.snapshot_chunks import PartState
    from quillring.quorum.values import WireGroup

COMMANDS = Registry("command")
QUERIES = Registry("query")


def initial_state(group: WireGroup) -> PartState:
    """Return the state of a part to which no command was applied, replicated by `group`."""
    return {"group": group, "lots": {}, "layout": None, "version": 0}


def apply_batch(state: PartState, batch: Batch) -> tuple[PartState, list[Any]]:
    """Apply the commands of one log entry; return the new state and one answer per command.

    A rejected command leaves the state unchanged, and its answer is the error. Within one entry at
    most one store may join the group and at most one may leave, which is enough to replace a member
    in one step; `quorum.leader.membership_change` explains why that is safe.
    """
    answers: list[Any] = []
    first_group: Any = state.get("group")
    for command in batch:
        try:
            new_state, answer = COMMANDS.find(command["do"])(state, command)
            if not is_one_swap(first_group, new_state.get("group")):
                raise QuillringError(reason="one swap in an entry", group=state["group"])
            state = new_state
        except QuillringError as error:
            answer = error
        except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
            answer = BadCommand(reason=type(error).__name__)
        answers.append(answer)
    return state, answers


def is_one_swap(group: WireGroup, next_group: WireGroup) -> bool:
    """Return whether `next_group` adds at most one store to `group` and removes at most one."""
    if group == next_group:
        return True
    old_members, new_members = {tuple(s) for s in group}, {tuple(s) for s in next_group}
    return len(new_members - old_members) <= 1 and len(old_members - new_members) <= 1


def answer_query(state: PartState, query: WireMap) -> list[Any]:
    """Answer a query from a state; return [None, answer], or [error kind, error detail]."""
    try:
        return [None, QUERIES.find(query["ask"])(state, query)]
    except QuillringError as error:
        return [error.kind, error.detail]


class BadCommand(QuillringError):
    """A malformed command; every replica rejects it and leaves its state unchanged."""

    kind = "bad_command"


@COMMANDS.entry("group.change")
def change_group(state: PartState, command: WireMap) -> tuple[PartState, WireMap]:
    """Add one store to the part's group, or remove one; raises QuillringError for other changes."""
    old_names = {tuple(store) for store in state["group"]}
    new_names = {tuple(store) for store in command["group"]}
    if len(old_names ^ new_names) != 1:
        raise QuillringError(reason="one member at a time", group=state["group"])
    return {**state, "group": command["group"]}, {"group": command["group"]}
