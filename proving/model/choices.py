"""What may happen next in a state of the system, and which bound each choice is counted by."""

from typing import NamedTuple

from proving.model.network import ANSWER, REQUEST

COST = {
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
    """One thing that may happen next: a message is taken, a process acts or fails."""

    verb: str
    node: str
    subject: object = None


def bound_of(choice):
    """Return the name of the bound that counts a choice, or None."""
    if choice.verb == "crash":
        return "core_crashes" if choice.node.startswith("core") else "crashes"
    return COST.get(choice.verb)


class Menu:
    """Lists the choices in a state of a system."""

    __slots__ = ("system",)

    def __init__(self, system):
        self.system = system

    def choices(self, state):
        """Return all that may happen next if there were no bounds, in a fixed order."""
        found = []
        for number in dict.fromkeys(state.network):
            found.extend(self._message_choices(number))
        for name in self.system.names:
            facts = self.system.processes.facts(state.locals[self.system.places[name]])
            if name.startswith("core"):
                found.extend(self._core_choices(state, name, facts))
            else:
                found.extend(self._store_choices(name, facts))
        return found

    def _message_choices(self, number):
        message = self.system.messages[number]
        yield Choice("deliver", message.target, number)
        if message.kind == REQUEST:
            yield Choice("deliver late", message.target, number)
        if message.kind != ANSWER:
            yield Choice("hold", message.target, number)
        yield Choice("duplicate", message.target, number)
        yield Choice("lose", message.target, number)

    def _core_choices(self, state, name, facts):
        busy = facts.busy
        if not self.system.world.is_founded:
            if "found" not in busy:
                yield Choice("found", name)
        elif not facts.is_leader and "take" not in busy:
            yield Choice("take", name)
        if facts.is_leader:
            yield Choice("resign", name)
            if "read" not in busy:
                yield Choice("read", name)
            yield from self._submit_choices(state, name)
        if "peek" not in busy and state.memory.log:
            for group in dict.fromkeys(
                (self.system.world.founding_group, state.memory.newest_group())
            ):
                yield Choice("peek", name, group)
        for label in dict.fromkeys(facts.timers):
            yield Choice("timer", name, label)
        yield Choice("crash", name)

    def _submit_choices(self, state, name):
        for operator, place in zip(self.system.operators, state.placed):
            if place < len(self.system.world.operators[operator]):
                yield Choice("submit", name, (operator, place))

    def _store_choices(self, name, is_held):
        if is_held:
            yield Choice("sync", name)
        yield Choice("crash", name)
        yield Choice("wipe", name)
