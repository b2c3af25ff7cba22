"""The complete system as the product of its processes: states, choices and successor states."""

from bisect import insort
from typing import NamedTuple

from proving.model import invariants
from proving.model.choices import Choice, ChoiceEnumerator, bound_of
from proving.model.machines import Input
from proving.model.network import ANSWER, MessageTable
from proving.model.process_states import LocalStates
from proving.model.scopes import Bounds


class State(NamedTuple):
    """One state of the complete system.

    `local_states` and `network` contain numbers of process states and of messages. `submitted`
    counts the commands submitted per operator. `passed_over` contains the requests that others
    overtook.
    """

    local_states: tuple
    network: tuple
    history: invariants.History
    submitted: tuple
    active_core: str | None
    passed_over: frozenset
    spent: Bounds

    def situation(self):
        """Return the state without the bounds that were used up on the way to it."""
        return self[:-1]


class ScheduleDeviation(NamedTuple):
    """How a choice deviates from the default schedule: one core, then one store, at a time.

    `active_core` is the core that runs after the choice, `overtaken` the messages that the
    default schedule would have delivered before.
    """

    is_switch: bool
    active_core: str | None
    overtaken: frozenset


class SuccessorBuilder:
    """A mutable copy of a state, from which its successor is made."""

    __slots__ = ("local_states", "network", "history", "has_effect")

    def __init__(self, state):
        self.local_states = list(state.local_states)
        self.network = list(state.network)
        self.history = state.history
        self.has_effect = False


class System:
    """A world with its tables; `choices` and `successor` define the graph of states."""

    def __init__(self, world):
        self.world = world
        self.names = (*world.core_names, *world.store_names)
        self.positions = {name: position for position, name in enumerate(self.names)}
        self.processes = LocalStates(world)
        self.messages = MessageTable()
        self.operators = tuple(sorted(world.operators))
        self.enumerator = ChoiceEnumerator(self)

    def initial_state(self):
        """Return the state in which an exploration starts."""
        numbers = tuple(self.processes.initial_number(name) for name in self.names)
        spent = Bounds(*[0] * len(Bounds._fields))
        state = State(
            numbers, (), invariants.History(), (0,) * len(self.operators), None, frozenset(), spent
        )
        if not self.world.is_founded:
            return state
        builder = SuccessorBuilder(state)
        for store in self.world.founding_group:
            self._step(builder, store[0], Input("found"))
        state = state._replace(local_states=tuple(builder.local_states), history=builder.history)
        for name in self.world.owners:
            state = self._deliver_all(self.successor(state, Choice("take", name)))
        return state._replace(spent=spent, active_core=None)

    def _deliver_all(self, state):
        """Return the state after all messages were delivered in the default order."""
        while state.network:
            number = min(state.network, key=lambda n: self.positions[self.messages[n].target])
            choice = Choice("deliver", self.messages[number].target, number)
            remaining = list(state.network)
            remaining.remove(number)
            state = self.successor(state, choice) or state._replace(network=tuple(remaining))
        return state

    def choices(self, state):
        """Return all choices within the bounds, in a deterministic order."""
        return [c for c in self.enumerator.choices(state) if self._may_spend(state, c)]

    def _may_spend(self, state, choice):
        bound = bound_of(choice)
        if bound is not None and getattr(state.spent, bound) >= getattr(self.world.bounds, bound):
            return False
        deviation = self._schedule_deviation(state, choice)
        return (
            state.spent.switches + deviation.is_switch <= self.world.bounds.switches
            and state.spent.delays + bool(deviation.overtaken) <= self.world.bounds.delays
        )

    def _schedule_deviation(self, state, choice):
        """Return how a choice deviates from the default schedule."""
        active_core = state.active_core
        core = choice.node if choice.node.startswith("core") else None
        overtaken = frozenset()
        if isinstance(choice.subject, int):
            message = self.messages[choice.subject]
            if message.kind != ANSWER:
                core = message.origin
                if choice.subject in state.passed_over or message.call not in self._pending_calls(
                    state, core
                ):
                    return ScheduleDeviation(True, active_core, overtaken)
                overtaken = self._overtaken_messages(state, message)
        if core is None or core == active_core:
            return ScheduleDeviation(False, active_core, overtaken)
        return ScheduleDeviation(
            active_core is not None and bool(self._pending_calls(state, active_core)),
            core,
            overtaken,
        )

    def _overtaken_messages(self, state, message):
        """Return the requests to earlier stores that the default schedule delivers first."""
        position = self.positions[message.target]
        calls = self._pending_calls(state, message.origin)
        return frozenset(
            number
            for number in state.network
            if self.messages[number].origin == message.origin
            and self.messages[number].call in calls
            and self.positions[self.messages[number].target] < position
            and number not in state.passed_over
        )

    def _pending_calls(self, state, core):
        """Return the calls of a core that wait for answers."""
        return self.processes.status(state.local_states[self.positions[core]]).calls

    def successor(self, state, choice):
        """Return the state after a choice, or None if it changes nothing.

        Raises BrokenInvariant if the choice breaks an invariant.
        """
        builder = SuccessorBuilder(state)
        if isinstance(choice.subject, int):
            self._deliver_message(builder, choice)
        else:
            self._perform_action(builder, choice)
        if not builder.has_effect:
            return None
        bound = bound_of(choice)
        spent = state.spent
        deviation = self._schedule_deviation(state, choice)
        if bound is not None:
            spent = spent._replace(**{bound: getattr(spent, bound) + 1})
        spent = spent._replace(
            switches=spent.switches + deviation.is_switch,
            delays=spent.delays + bool(deviation.overtaken),
        )
        submitted = state.submitted
        if choice.verb == "submit":
            position = self.operators.index(choice.subject[0])
            submitted = (*submitted[:position], submitted[position] + 1, *submitted[position + 1 :])
        passed_over = state.passed_over | deviation.overtaken
        next_state = State(
            tuple(builder.local_states),
            tuple(builder.network),
            builder.history,
            submitted,
            deviation.active_core,
            passed_over,
            spent,
        )
        deliverable = self._deliverable_messages(next_state)
        return next_state._replace(
            network=deliverable, passed_over=passed_over.intersection(deliverable)
        )

    def _deliverable_messages(self, state):
        """Return the messages whose delivery is still possible and useful within the bounds."""
        has_switches = state.spent.switches < self.world.bounds.switches
        deliverable = []
        for number in state.network:
            message = self.messages[number]
            if message.kind == ANSWER:
                is_deliverable = self.world.bounds.core_crashes or (
                    message.call in self._pending_calls(state, message.target)
                )
            else:
                is_pending = message.call in self._pending_calls(state, message.origin)
                is_deliverable = has_switches or (is_pending and number not in state.passed_over)
            if is_deliverable:
                deliverable.append(number)
        return tuple(deliverable)

    def _deliver_message(self, builder, choice):
        message = self.messages[choice.subject]
        if choice.verb != "duplicate":
            builder.network.remove(choice.subject)
        if choice.verb == "lose":
            builder.has_effect = True
            return
        verb = "hold" if choice.verb == "hold" else "message"
        step_input = Input(verb, message.origin, message.data)
        answers = self._step(builder, message.target, step_input)
        self._deliver_answers(builder, message.target, answers, choice.verb == "deliver late")

    def _perform_action(self, builder, choice):
        verb = "found_fleet" if choice.verb == "found" else choice.verb
        answers = self._step(builder, choice.node, Input(verb, choice.subject))
        self._deliver_answers(builder, choice.node, answers, False)

    def _deliver_answers(self, builder, origin, answers, is_late):
        """Deliver answers at once, or put them on the network if they are late."""
        for number in answers:
            if is_late:
                insort(builder.network, number)
                builder.has_effect = True
            else:
                message = self.messages[number]
                step_input = Input("message", origin, message.data)
                self._step(builder, message.target, step_input)

    def _step(self, builder, name, step_input):
        """Run one step of a process; return its answers and put its requests on the network."""
        position = self.positions[name]
        number, reaction = self.processes.step(builder.local_states[position], step_input)
        previous = (builder.local_states[position], builder.history)
        builder.local_states[position] = number
        for event in reaction.events:
            builder.history = invariants.record_event(builder.history, event)
        if previous != (number, builder.history):
            builder.has_effect = True
        answers = []
        for target, data in reaction.sent:
            sent = self.messages.number(name, target, data)
            if self.messages[sent].kind == ANSWER:
                answers.append(sent)
            else:
                builder.has_effect = True
                insort(builder.network, sent)
        return answers

    def describe(self, choice):
        """Return a choice as it appears in a trace: [verb, node, text]."""
        if isinstance(choice.subject, int):
            return [choice.verb, choice.node, self.messages[choice.subject].text]
        if choice.verb == "peek":
            return [choice.verb, choice.node, " ".join(store[1] for store in choice.subject)]
        if choice.verb == "submit":
            return [choice.verb, choice.node, f"{choice.subject[0]} {choice.subject[1]}"]
        return [choice.verb, choice.node, choice.subject or ""]
