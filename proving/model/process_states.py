"""States of single processes: each distinct state is identified by a number.

A step of a process depends only on its state and the input. Steps are therefore cached in a table,
and the product of all processes is explored without running a step twice. Suspended coroutines
can't be copied: for a new step from a state whose machine is not cached, the process is rebuilt by
replaying all its inputs.
"""

from collections import OrderedDict
from typing import NamedTuple

from proving.model.core_machine import CoreMachine
from proving.model.machines import Input
from proving.model.store_machine import StoreMachine

MAX_CACHED_MACHINES = 2000


class WorldContext(NamedTuple):
    """The parameters of a world that its machines need; `durable_forms` is a shared cache."""

    names: tuple
    part: str
    group: tuple
    founding: dict
    seeds: tuple
    operators: dict
    durable_forms: dict


class LocalState(NamedTuple):
    """One state of one process: the first step that led to it, and the status for its choices."""

    name: str
    parent: int | None
    step_input: Input | None
    status: object


class LocalStates:
    """The table of all known states of all processes, and of the steps between them."""

    def __init__(self, world):
        group = world.founding_group
        founding = {
            "fleet": "model",
            "groups": {world.part: [list(store) for store in group]},
            "secret": b"model",
            "size": world.members,
        }
        names = (*world.core_names, *world.store_names)
        self.world_context = WorldContext(
            names, world.part, group, founding, world.seeds, world.operators, {}
        )
        self.numbers = {}
        self.states = []
        self.steps = {}
        self.machine_cache = OrderedDict()
        self.rebuild_count = 0

    def initial_number(self, name):
        """Return the number of a process's initial state."""
        return self._state_number(self._create_machine(name), None, None)

    def _create_machine(self, name):
        kind = CoreMachine if name.startswith("core") else StoreMachine
        return kind(name, self.world_context)

    def _state_number(self, machine, parent, step_input):
        key = (machine.name, machine.state_digest())
        number = self.numbers.get(key)
        if number is None:
            number = self.numbers[key] = len(self.states)
            self.states.append(LocalState(machine.name, parent, step_input, machine.status()))
        self.machine_cache[number] = machine
        if len(self.machine_cache) > MAX_CACHED_MACHINES:
            self.machine_cache.popitem(last=False)
        return number

    def _take_machine(self, number):
        """Return a machine in this state and remove it from the cache, as a step changes it."""
        machine = self.machine_cache.pop(number, None)
        if machine is None:
            self.rebuild_count += 1
            machine = self.rebuild(number)
        return machine

    def rebuild(self, number):
        """Return a new machine in this state, made by replaying the inputs that first led to it."""
        inputs, state = [], self.states[number]
        while state.parent is not None:
            inputs.append(state.step_input)
            state = self.states[state.parent]
        machine = self._create_machine(state.name)
        for step_input in reversed(inputs):
            machine.react(step_input)
        return machine

    def step(self, number, step_input):
        """Return (number of the next state, reaction) for an input in a state."""
        key = (number, step_input)
        result = self.steps.get(key)
        if result is None:
            machine = self._take_machine(number)
            reaction = machine.react(step_input)
            result = self.steps[key] = (self._state_number(machine, number, step_input), reaction)
        return result

    def status(self, number):
        """Return the facts that determine the choices in a state."""
        return self.states[number].status
