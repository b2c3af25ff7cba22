"""The whole system as the product of its processes: states, choices and what follows from one."""

from bisect import insort
from typing import NamedTuple

from proving.model import invariants
from proving.model.choices import Choice, Menu, bound_of
from proving.model.machines import Input
from proving.model.network import ANSWER, Messages
from proving.model.process_states import LocalStates
from proving.model.scopes import Bounds


class State(NamedTuple):
    """One state of the whole system."""

    locals: tuple
    network: tuple
    memory: invariants.Memory
    placed: tuple
    active: str | None
    aside: frozenset
    spent: Bounds

    def situation(self):
        """Return all but what was spent on the way here."""
        return self[:-1]


class Turn(NamedTuple):
    """How a choice stands to the default order: one core after another, one store after another."""

    is_switch: bool
    active: str | None
    passed: frozenset


class Draft:
    """A state that is being made out of another."""

    __slots__ = ("locals", "network", "memory", "has_effect")

    def __init__(self, state):
        self.locals = list(state.locals)
        self.network = list(state.network)
        self.memory = state.memory
        self.has_effect = False


class System:
    """A world with its tables; `choices` and `follow` span the graph of states."""

    def __init__(self, world):
        self.world = world
        self.names = (*world.core_names, *world.store_names)
        self.places = {name: place for place, name in enumerate(self.names)}
        self.processes = LocalStates(world)
        self.messages = Messages()
        self.operators = tuple(sorted(world.operators))
        self.menu = Menu(self)

    def first_state(self):
        """Return the state in which everything begins."""
        numbers = tuple(self.processes.begin(name) for name in self.names)
        spent = Bounds(*[0] * len(Bounds._fields))
        state = State(
            numbers, (), invariants.Memory(), (0,) * len(self.operators), None, frozenset(), spent
        )
        if not self.world.is_founded:
            return state
        draft = Draft(state)
        for store in self.world.founding_group:
            self._step(draft, store[0], Input("found"))
        state = state._replace(locals=tuple(draft.locals), memory=draft.memory)
        for name in self.world.owners:
            state = self._settle(self.follow(state, Choice("take", name)))
        return state._replace(spent=spent, active=None)

    def _settle(self, state):
        """Return the state once every message was delivered, in the default order."""
        while state.network:
            number = min(state.network, key=lambda n: self.places[self.messages[n].target])
            choice = Choice("deliver", self.messages[number].target, number)
            left = list(state.network)
            left.remove(number)
            state = self.follow(state, choice) or state._replace(network=tuple(left))
        return state

    def choices(self, state):
        """Return all that may happen next within the bounds, in a fixed order."""
        return [c for c in self.menu.choices(state) if self._may_spend(state, c)]

    def _may_spend(self, state, choice):
        bound = bound_of(choice)
        if bound is not None and getattr(state.spent, bound) >= getattr(self.world.bounds, bound):
            return False
        turn = self._turn(state, choice)
        return (
            state.spent.switches + turn.is_switch <= self.world.bounds.switches
            and state.spent.delays + bool(turn.passed) <= self.world.bounds.delays
        )

    def _turn(self, state, choice):
        """Return what a choice means for the order in which things come about by default."""
        active = state.active
        core = choice.node if choice.node.startswith("core") else None
        passed = frozenset()
        if isinstance(choice.subject, int):
            message = self.messages[choice.subject]
            if message.kind != ANSWER:
                core = message.origin
                if choice.subject in state.aside or message.call not in self._calls(state, core):
                    return Turn(True, active, passed)
                passed = self._passed(state, message)
        if core is None or core == active:
            return Turn(False, active, passed)
        return Turn(active is not None and bool(self._calls(state, active)), core, passed)

    def _passed(self, state, message):
        """Return the messages of the same round that would have come before by default."""
        place = self.places[message.target]
        calls = self._calls(state, message.origin)
        return frozenset(
            number
            for number in state.network
            if self.messages[number].origin == message.origin
            and self.messages[number].call in calls
            and self.places[self.messages[number].target] < place
            and number not in state.aside
        )

    def _calls(self, state, core):
        return self.processes.facts(state.locals[self.places[core]]).calls

    def follow(self, state, choice):
        """Return the state after a choice, or None where it changes nothing.

        Raises BrokenInvariant when the choice breaks a rule.
        """
        draft = Draft(state)
        if isinstance(choice.subject, int):
            self._take_message(draft, choice)
        else:
            self._act(draft, choice)
        if not draft.has_effect:
            return None
        bound = bound_of(choice)
        spent = state.spent
        turn = self._turn(state, choice)
        if bound is not None:
            spent = spent._replace(**{bound: getattr(spent, bound) + 1})
        spent = spent._replace(
            switches=spent.switches + turn.is_switch, delays=spent.delays + bool(turn.passed)
        )
        placed = state.placed
        if choice.verb == "submit":
            place = self.operators.index(choice.subject[0])
            placed = (*placed[:place], placed[place] + 1, *placed[place + 1 :])
        aside = state.aside | turn.passed
        next_state = State(
            tuple(draft.locals),
            tuple(draft.network),
            draft.memory,
            placed,
            turn.active,
            aside,
            spent,
        )
        live = self._live(next_state)
        return next_state._replace(network=live, aside=aside.intersection(live))

    def _live(self, state):
        """Return the messages that may still bring about anything within the bounds."""
        has_switches = state.spent.switches < self.world.bounds.switches
        live = []
        for number in state.network:
            message = self.messages[number]
            if message.kind == ANSWER:
                is_live = self.world.bounds.core_crashes or (
                    message.call in self._calls(state, message.target)
                )
            else:
                is_open = message.call in self._calls(state, message.origin)
                is_live = has_switches or (is_open and number not in state.aside)
            if is_live:
                live.append(number)
        return tuple(live)

    def _take_message(self, draft, choice):
        message = self.messages[choice.subject]
        if choice.verb != "duplicate":
            draft.network.remove(choice.subject)
        if choice.verb == "lose":
            draft.has_effect = True
            return
        verb = "hold" if choice.verb == "hold" else "message"
        step_input = Input(verb, message.origin, message.data)
        answers = self._step(draft, message.target, step_input)
        self._hand_on(draft, message.target, answers, choice.verb == "deliver late")

    def _act(self, draft, choice):
        verb = "found_fleet" if choice.verb == "found" else choice.verb
        answers = self._step(draft, choice.node, Input(verb, choice.subject))
        self._hand_on(draft, choice.node, answers, False)

    def _hand_on(self, draft, origin, answers, is_late):
        """Deliver answers at once, unless they are to come late."""
        for number in answers:
            if is_late:
                insort(draft.network, number)
                draft.has_effect = True
            else:
                message = self.messages[number]
                step_input = Input("message", origin, message.data)
                self._step(draft, message.target, step_input)

    def _step(self, draft, name, step_input):
        """Let a process take an input; return its answers, and put its requests on the network."""
        place = self.places[name]
        number, reaction = self.processes.step(draft.locals[place], step_input)
        former = (draft.locals[place], draft.memory)
        draft.locals[place] = number
        for event in reaction.events:
            draft.memory = invariants.note(draft.memory, event)
        if former != (number, draft.memory):
            draft.has_effect = True
        answers = []
        for target, data in reaction.sent:
            sent = self.messages.number(name, target, data)
            if self.messages[sent].kind == ANSWER:
                answers.append(sent)
            else:
                draft.has_effect = True
                insort(draft.network, sent)
        return answers

    def describe(self, choice):
        """Return a choice as a trace tells it: (verb, node, text)."""
        if isinstance(choice.subject, int):
            return [choice.verb, choice.node, self.messages[choice.subject].text]
        if choice.verb == "peek":
            return [choice.verb, choice.node, " ".join(store[1] for store in choice.subject)]
        if choice.verb == "submit":
            return [choice.verb, choice.node, f"{choice.subject[0]} {choice.subject[1]}"]
        return [choice.verb, choice.node, choice.subject or ""]
