"""The commands of the logs: pure functions found by their entry in a registry."""

from quillring.kernel.errors import QuillringError
from quillring.kernel.registry import Registry

COMMANDS = Registry("command")
QUERIES = Registry("query")


def first_state(group):
    """Return the state of a part that was just founded."""
    return {"group": group, "lots": {}, "layout": None, "version": 0}


def apply_batch(state, batch):
    """Return (new state, answers); a refused command changes nothing and answers an error.

    One batch is one entry of the log: the group that accepts the next one lacks at most one member
    of the group that accepted this one, and has at most one that is new. Why that is enough though
    majorities of the two may lack a common member: `quorum.swap`.
    """
    answers, first_group = [], state.get("group")
    for command in batch:
        try:
            new_state, answer = COMMANDS.find(command["do"])(state, command)
            if not is_one_step(first_group, new_state.get("group")):
                raise QuillringError(reason="one change in an entry", group=state["group"])
            state = new_state
        except QuillringError as error:
            answer = error
        except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
            answer = BadCommand(reason=type(error).__name__)
        answers.append(answer)
    return state, answers


def is_one_step(group, new_group):
    """Tell whether a group becomes another by one member that leaves and one that joins at most."""
    old_members = {tuple(store) for store in group or ()}
    new_members = {tuple(store) for store in new_group or ()}
    return max(len(old_members - new_members), len(new_members - old_members)) <= 1


def answer_query(state, query):
    """Return [None, answer] of a query, or [error's kind, its detail]."""
    try:
        return [None, QUERIES.find(query["ask"])(state, query)]
    except QuillringError as error:
        return [error.kind, error.detail]


class BadCommand(QuillringError):
    """A command that can't be applied; it changes nothing, at every store alike."""

    kind = "bad_command"


@COMMANDS.entry("group.change")
def change_group(state, command):
    """Change the part's stores by one member at a time."""
    old_names = {tuple(store) for store in state["group"]}
    new_names = {tuple(store) for store in command["group"]}
    if len(old_names ^ new_names) != 1:
        raise QuillringError(reason="one member at a time", group=state["group"])
    return {**state, "group": command["group"]}, {"group": command["group"]}
