"""Lists the choices in a state of the system, and the bound that each choice counts against."""

from typing import NamedTuple

from proving.model.network import ANSWER, REQUEST

BOUND_BY_VERB = {
    "deliver late": "late_answers",
    "hold": "holds",
    "duplicate": "duplicates",
    "lose": "losses",
    "timer": "timers",
    "take": "takes",
    "submit": "submits",
    "read": "reads",
    "peek": "peeks",
    "resign": "resigns",
    "found": "foundings",
    "wipe": "wipes",
}


class Choice(NamedTuple):
    """One possible next step: a message is handled or lost, a process acts or fails."""

    verb: str
    node: str
    subject: object = None


def bound_of(choice):
    """Return the name of the bound that a choice counts against, or None if it is unlimited."""
    if choice.verb == "crash":
        return "core_crashes" if choice.node.startswith("core") else "crashes"
    return BOUND_BY_VERB.get(choice.verb)


class ChoiceEnumerator:
    """Lists the choices in a state of a system without regard to bounds."""

    __slots__ = ("system",)

    def __init__(self, system):
        self.system = system

    def choices(self, state):
        """Return all choices in a state, ignoring bounds, in a deterministic order."""
        choices = []
        for number in dict.fromkeys(state.network):
            choices.extend(self._message_choices(number))
        for name in self.system.names:
            status = self.system.processes.status(state.local_states[self.system.positions[name]])
            if name.startswith("core"):
                choices.extend(self._core_choices(state, name, status))
            else:
                choices.extend(self._store_choices(name, status))
        return choices

    def _message_choices(self, number):
        message = self.system.messages[number]
        yield Choice("deliver", message.target, number)
        if message.kind == REQUEST:
            yield Choice("deliver late", message.target, number)
        if message.kind != ANSWER:
            yield Choice("hold", message.target, number)
        yield Choice("duplicate", message.target, number)
        yield Choice("lose", message.target, number)

    def _core_choices(self, state, name, status):
        in_progress = status.in_progress
        if not self.system.world.is_founded:
            if "found" not in in_progress:
                yield Choice("found", name)
        elif not status.is_leader and "take" not in in_progress:
            yield Choice("take", name)
        if status.is_leader:
            yield Choice("resign", name)
            if "read" not in in_progress:
                yield Choice("read", name)
            yield from self._submit_choices(state, name)
        if "peek" not in in_progress and state.history.log:
            for group in dict.fromkeys(
                (self.system.world.founding_group, state.history.newest_group())
            ):
                yield Choice("peek", name, group)
        for label in dict.fromkeys(status.timers):
            yield Choice("timer", name, label)
        yield Choice("crash", name)

    def _submit_choices(self, state, name):
        for operator, position in zip(self.system.operators, state.submitted):
            if position < len(self.system.world.operators[operator]):
                yield Choice("submit", name, (operator, position))

    def _store_choices(self, name, is_sync_pending):
        if is_sync_pending:
            yield Choice("sync", name)
        yield Choice("crash", name)
        yield Choice("wipe", name)
