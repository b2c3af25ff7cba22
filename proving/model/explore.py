"""Breadth-first exploration with state hashing, and random walks to greater depth."""

import random
import time
from operator import le
from typing import NamedTuple

from proving.model.errors import BrokenInvariant
from proving.model.system import System


class Budget(NamedTuple):
    """Where an exploration ends: after so many states or seconds, whichever comes first."""

    states: int | None = None
    seconds: float | None = None


NO_LIMIT = Budget()


class Finding(NamedTuple):
    """A broken rule, and the choices that lead to it."""

    invariant: str
    detail: dict
    choices: list


class Outcome(NamedTuple):
    """What an exploration saw; `depth` is the depth to which every state was looked at."""

    world: str
    states: int
    steps: int
    depth: int
    is_complete: bool
    finding: Finding | None
    seconds: float


class Explorer:
    """Looks at every state of a world, nearest first."""

    def __init__(self, world, budget=NO_LIMIT):
        self.system = System(world)
        self.budget = budget
        self.began_at = time.monotonic()
        self.origins = {}
        self.spendings = {}
        self.steps = 0

    def run(self, depth):
        """Explore down to a depth; end at the first broken rule, which is a nearest one."""
        first_state = self.system.first_state()
        self.origins = {first_state: None}
        self._is_news(first_state)
        frontier, reached = [first_state], 0
        while frontier and reached < depth:
            next_frontier = []
            for state in frontier:
                if self._is_spent():
                    return self._outcome(reached, False)
                finding = self._expand(state, next_frontier)
                if finding is not None:
                    return self._outcome(reached + 1, False, finding)
            frontier, reached = next_frontier, reached + 1
        return self._outcome(reached, not frontier)

    def _is_spent(self):
        limit = self.budget.states
        if limit is not None and len(self.origins) >= limit:
            return True
        seconds = self.budget.seconds
        return seconds is not None and time.monotonic() - self.began_at > seconds

    def _expand(self, state, next_frontier):
        for choice in self.system.choices(state):
            self.steps += 1
            try:
                next_state = self.system.follow(state, choice)
            except BrokenInvariant as error:
                path = [*self._path(state), choice]
                return make_finding(self.system, error, path)
            if next_state is not None and self._is_news(next_state):
                self.origins[next_state] = (state, choice)
                next_frontier.append(next_state)
        return None

    def _is_news(self, state):
        """Tell whether no path led here that spent as little of each bound, or less."""
        situation, spent = state.situation(), state.spent
        known = self.spendings.get(situation)
        if known is None:
            self.spendings[situation] = [spent]
            return True
        if any(all(map(le, former, spent)) for former in known):
            return False
        known.append(spent)
        return True

    def _path(self, state):
        path = []
        while self.origins[state] is not None:
            state, choice = self.origins[state]
            path.append(choice)
        return path[::-1]

    def _outcome(self, depth, is_complete, finding=None):
        seconds = time.monotonic() - self.began_at
        name = self.system.world.name
        return Outcome(name, len(self.origins), self.steps, depth, is_complete, finding, seconds)


def make_finding(system, error, path):
    """Return the finding of a broken rule at the end of a path."""
    detail = dict(error.detail)
    return Finding(detail.pop("invariant"), detail, [system.describe(c) for c in path])


def walk(world, depth, seed, budget):
    """Take random choices, path after path, until a rule breaks or the budget is spent."""
    system, chance = System(world), random.Random(seed)
    began_at, seen, steps = time.monotonic(), set(), 0
    first_state = system.first_state()
    while True:
        state, path = first_state, []
        while len(path) < depth:
            is_spent = budget.states is not None and steps >= budget.states
            seconds = time.monotonic() - began_at
            if is_spent or (budget.seconds is not None and seconds > budget.seconds):
                return Outcome(world.name, len(seen), steps, depth, False, None, seconds)
            choices = system.choices(state)
            if not choices:
                break
            choice = chance.choice(choices)
            steps += 1
            path.append(choice)
            try:
                state = system.follow(state, choice) or state
            except BrokenInvariant as error:
                finding = make_finding(system, error, path)
                seconds = time.monotonic() - began_at
                return Outcome(world.name, len(seen), steps, len(path), False, finding, seconds)
            seen.add(hash(state))
