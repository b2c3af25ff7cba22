"""The states of single processes: each is reached once and named by a number.

A step of a process depends on nothing but its own state and the input. So the steps are kept in a
table, and the product of all processes is explored without running it again. Running coroutines
can't be copied: where a step is new, the process is made again by its inputs since its beginning.
"""

from collections import OrderedDict
from typing import NamedTuple

from proving.model.core_machine import CoreMachine
from proving.model.machines import Input
from proving.model.store_machine import StoreMachine

KEPT_MACHINES = 2000


class Setting(NamedTuple):
    """What machines need to know of their world."""

    names: tuple
    part: str
    group: tuple
    founding: dict
    seeds: tuple
    operators: dict
    durable_forms: dict


class LocalState(NamedTuple):
    """One state of one process: how it was reached first, and what may be chosen there."""

    name: str
    parent: int | None
    step_input: Input | None
    facts: object


class LocalStates:
    """The table of all states of all processes met so far, and of the steps between them."""

    def __init__(self, world):
        group = world.founding_group
        founding = {
            "fleet": "model",
            "groups": {world.part: [list(store) for store in group]},
            "secret": b"model",
            "size": world.members,
        }
        names = (*world.core_names, *world.store_names)
        self.setting = Setting(names, world.part, group, founding, world.seeds, world.operators, {})
        self.numbers = {}
        self.states = []
        self.steps = {}
        self.machines = OrderedDict()
        self.replays = 0

    def begin(self, name):
        """Return the number of a process's first state."""
        return self._number(self._make(name), None, None)

    def _make(self, name):
        kind = CoreMachine if name.startswith("core") else StoreMachine
        return kind(name, self.setting)

    def _number(self, machine, parent, step_input):
        key = (machine.name, machine.form())
        number = self.numbers.get(key)
        if number is None:
            number = self.numbers[key] = len(self.states)
            self.states.append(LocalState(machine.name, parent, step_input, machine.facts()))
        self.machines[number] = machine
        if len(self.machines) > KEPT_MACHINES:
            self.machines.popitem(last=False)
        return number

    def _machine(self, number):
        """Return a process that stands in this state, to be moved on."""
        machine = self.machines.pop(number, None)
        if machine is None:
            self.replays += 1
            machine = self.make_again(number)
        return machine

    def make_again(self, number):
        """Return a new process that took the inputs which led to a state first."""
        inputs, state = [], self.states[number]
        while state.parent is not None:
            inputs.append(state.step_input)
            state = self.states[state.parent]
        machine = self._make(state.name)
        for step_input in reversed(inputs):
            machine.react(step_input)
        return machine

    def step(self, number, step_input):
        """Return (next state's number, reaction) of a process that takes an input."""
        key = (number, step_input)
        known = self.steps.get(key)
        if known is None:
            machine = self._machine(number)
            reaction = machine.react(step_input)
            known = self.steps[key] = (self._number(machine, number, step_input), reaction)
        return known

    def facts(self, number):
        """Return what may be chosen in a state."""
        return self.states[number].facts
