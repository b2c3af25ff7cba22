"""Breadth-first exploration with state hashing, and random walks that go deeper."""

import random
import time
from operator import le
from typing import NamedTuple

from proving.model.errors import BrokenInvariant
from proving.model.system import System


class Budget(NamedTuple):
    """Limits of an exploration in states and seconds; the first one reached ends it."""

    states: int | None = None
    seconds: float | None = None


NO_LIMIT = Budget()


class Finding(NamedTuple):
    """A broken invariant, and the choices that lead to it."""

    invariant: str
    detail: dict
    choices: list


class Outcome(NamedTuple):
    """Result of an exploration; `depth` is the depth down to which it is exhaustive.

    With a finding, `depth` is the length of its path; for a walk without one, the path limit.
    """

    world: str
    states: int
    steps: int
    depth: int
    is_complete: bool
    finding: Finding | None
    seconds: float


class Explorer:
    """Explores the states of a world breadth first."""

    def __init__(self, world, budget=NO_LIMIT):
        self.system = System(world)
        self.budget = budget
        self.started_at = time.monotonic()
        self.predecessors = {}
        self.spent_by_situation = {}
        self.steps = 0

    def run(self, depth):
        """Explore down to a depth; stop at the first broken invariant, found by a shortest path."""
        initial_state = self.system.initial_state()
        self.predecessors = {initial_state: None}
        self._is_unexplored(initial_state)
        frontier, reached = [initial_state], 0
        while frontier and reached < depth:
            next_frontier = []
            for state in frontier:
                if self._is_budget_exhausted():
                    return self._outcome(reached, False)
                finding = self._expand(state, next_frontier)
                if finding is not None:
                    return self._outcome(reached + 1, False, finding)
            frontier, reached = next_frontier, reached + 1
        return self._outcome(reached, not frontier)

    def _is_budget_exhausted(self):
        limit = self.budget.states
        if limit is not None and len(self.predecessors) >= limit:
            return True
        seconds = self.budget.seconds
        return seconds is not None and time.monotonic() - self.started_at > seconds

    def _expand(self, state, next_frontier):
        for choice in self.system.choices(state):
            self.steps += 1
            try:
                next_state = self.system.successor(state, choice)
            except BrokenInvariant as error:
                path = [*self._path(state), choice]
                return make_finding(self.system, error, path)
            if next_state is not None and self._is_unexplored(next_state):
                self.predecessors[next_state] = (state, choice)
                next_frontier.append(next_state)
        return None

    def _is_unexplored(self, state):
        """Return whether no earlier path to this situation used as little or less of each bound.

        If so, the bounds used on this path are recorded for the situation.
        """
        situation, spent = state.situation(), state.spent
        earlier_paths = self.spent_by_situation.get(situation)
        if earlier_paths is None:
            self.spent_by_situation[situation] = [spent]
            return True
        if any(all(map(le, earlier, spent)) for earlier in earlier_paths):
            return False
        earlier_paths.append(spent)
        return True

    def _path(self, state):
        path = []
        while self.predecessors[state] is not None:
            state, choice = self.predecessors[state]
            path.append(choice)
        return path[::-1]

    def _outcome(self, depth, is_complete, finding=None):
        seconds = time.monotonic() - self.started_at
        name = self.system.world.name
        return Outcome(
            name, len(self.predecessors), self.steps, depth, is_complete, finding, seconds
        )


def make_finding(system, error, path):
    """Return the finding for a broken invariant at the end of a path."""
    detail = dict(error.detail)
    return Finding(detail.pop("invariant"), detail, [system.describe(c) for c in path])


def walk(world, depth, seed, budget):
    """Follow random paths until an invariant breaks or the budget is exhausted."""
    system, rng = System(world), random.Random(seed)
    started_at, seen, steps = time.monotonic(), set(), 0
    initial_state = system.initial_state()
    while True:
        state, path = initial_state, []
        while len(path) < depth:
            are_steps_exhausted = budget.states is not None and steps >= budget.states
            seconds = time.monotonic() - started_at
            if are_steps_exhausted or (budget.seconds is not None and seconds > budget.seconds):
                return Outcome(world.name, len(seen), steps, depth, False, None, seconds)
            choices = system.choices(state)
            if not choices:
                break
            choice = rng.choice(choices)
            steps += 1
            path.append(choice)
            try:
                state = system.successor(state, choice) or state
            except BrokenInvariant as error:
                finding = make_finding(system, error, path)
                seconds = time.monotonic() - started_at
                return Outcome(world.name, len(seen), steps, len(path), False, finding, seconds)
            seen.add(hash(state))
