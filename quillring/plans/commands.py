"""Commands and queries about plans, which the config part stores in its state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import Conflict, NotFound, QuillringError
from quillring.plans.messages import (
    COMPLETE_STEP,
    CONFIRM,
    DONE,
    FAILED,
    PROPOSE,
    PROPOSED,
    RUNNING,
    STOP,
    STOPPED,
    CompleteStep,
    ConfigurationStep,
    ConfirmPlan,
    PlanProgress,
    ProposePlan,
    StopPlan,
    StoredPlan,
    plan_to_json,
)
from quillring.quorum.commands import COMMANDS, QUERIES
from quillring.rollout.messages import ADOPT_CONFIGURATION, AdoptConfiguration

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.types import WireMap

MAX_STORED_PLANS = 32
EXCLUSIVE_KINDS = ("retire_store", "empty_domain")


class StalePlan(QuillringError):
    """The plan is based on an older version of the configuration; propose it again."""

    kind = "stale_plan"
    status = 409


class UnacceptedObstacles(QuillringError):
    """The plan has obstacles that were not accepted; those with a consequence can be."""

    kind = "impossible"
    status = 422


class ConflictingPlan(QuillringError):
    """A running plan has the same target, or the same kind, which is one of EXCLUSIVE_KINDS."""

    kind = "contradiction"
    status = 409


def stored_plans(state: WireMap) -> dict[str, WireMap]:
    """Return {name: plan} of all stored plans, each in its stored form."""
    plans: dict[str, WireMap] = state.get("plans", {})
    return plans


def find_plan(state: WireMap, name: str) -> StoredPlan:
    """Return a plan, or raise NotFound."""
    fields = stored_plans(state).get(name)
    if fields is None:
        raise NotFound(field="plan", plan=name)
    return StoredPlan.from_state(fields)


def with_plan(state: WireMap, name: str, **changes: Any) -> WireMap:
    """Return a copy of the state with some fields of a plan changed."""
    plans = stored_plans(state)
    return {**state, "plans": {**plans, name: {**plans[name], **changes}}}


@COMMANDS.entry(PROPOSE)
def propose_plan(state: WireMap, command: WireMap) -> tuple[WireMap, WireMap]:
    """Store a plan until it is confirmed; idempotent by its id.

    Beyond MAX_STORED_PLANS, the oldest plans that are not running are dropped.
    """
    proposal, plans = ProposePlan.from_wire(command), stored_plans(state)
    if proposal.id in plans:
        return state, plan_to_json(proposal.id, plans[proposal.id])
    idle_names = [name for name, fields in plans.items() if fields["phase"] != RUNNING]
    dropped_names = set(idle_names[: max(0, len(plans) - MAX_STORED_PLANS + 1)])
    retained = {name: fields for name, fields in plans.items() if name not in dropped_names}
    fields = {**proposal.plan, "phase": PROPOSED, "done": 0}
    new_state = {**state, "plans": {**retained, proposal.id: fields}}
    return new_state, plan_to_json(proposal.id, fields)


@COMMANDS.entry(CONFIRM)
def confirm_plan(state: WireMap, command: WireMap) -> tuple[WireMap, WireMap]:
    """Start a plan if it is not stale and all its obstacles are accepted; idempotent by the id.

    Raises NotFound, Conflict if it is not in phase `proposed`, StalePlan, UnacceptedObstacles or
    ConflictingPlan.
    """
    confirmation = ConfirmPlan.from_wire(command)
    name = confirmation.plan
    plan = find_plan(state, name)
    if plan.phase != PROPOSED:
        if plan.confirmed_by == confirmation.id:
            return state, plan_to_json(name, plan.fields)
        raise Conflict(field="plan", plan=name, phase=plan.phase)
    if plan.base_version != state["version"]:
        raise StalePlan(plan=name, made_against=plan.base_version, version=state["version"])
    obstacles = plan.unaccepted_obstacles(confirmation.accepted)
    if obstacles:
        raise UnacceptedObstacles(plan=name, obstacles=obstacles)
    check_conflicts(state, name, plan)
    new_state = with_plan(state, name, phase=RUNNING, confirmed_by=confirmation.id)
    return new_state, plan_to_json(name, new_state["plans"][name])


def check_conflicts(state: WireMap, name: str, plan: StoredPlan) -> None:
    """Raise ConflictingPlan if a running plan has the same target, or the same exclusive kind."""
    for other_name, fields in stored_plans(state).items():
        other = StoredPlan.from_state(fields)
        is_same_target = other.intent.target == plan.intent.target
        is_exclusive_kind = (
            other.intent.kind == plan.intent.kind and plan.intent.kind in EXCLUSIVE_KINDS
        )
        if other.phase == RUNNING and (is_same_target or is_exclusive_kind):
            raise ConflictingPlan(plan=name, running=other_name, target=other.title)


@COMMANDS.entry(COMPLETE_STEP)
def complete_step(state: WireMap, command: WireMap) -> tuple[WireMap, WireMap]:
    """Mark a step as done; a configuration step also adopts its change, in the same log entry.

    Does nothing unless it is the next step of a running plan. If the change is rejected, the plan
    enters phase `failed`.
    """
    completion = CompleteStep.from_wire(command)
    name, number = completion.plan, completion.step
    plan = find_plan(state, name)
    if plan.phase != RUNNING or plan.done_steps != number:
        return state, PlanProgress(plan.phase, plan.done_steps).to_wire()
    step = plan.step(number)
    if isinstance(step, ConfigurationStep):
        change_id = f"{name} step {number}"
        adoption = AdoptConfiguration(change_id, state["version"], step.change, is_complete=False)
        try:
            state, _ = COMMANDS.find(ADOPT_CONFIGURATION)(state, adoption.to_wire())
        except QuillringError as error:
            failed_state = with_plan(state, name, phase=FAILED, trouble=error.to_json())
            return failed_state, PlanProgress(FAILED, plan.done_steps).to_wire()
    done_steps = number + 1
    phase = DONE if done_steps == plan.step_count() else RUNNING
    new_state = with_plan(state, name, done=done_steps, phase=phase)
    return new_state, PlanProgress(phase, done_steps).to_wire()


@COMMANDS.entry(STOP)
def stop_plan(state: WireMap, command: WireMap) -> tuple[WireMap, WireMap]:
    """Stop a plan; completed steps are not undone, and it never runs again. Idempotent.

    Raises NotFound, or Conflict if the plan is done or failed.
    """
    name = StopPlan.from_wire(command).plan
    plan = find_plan(state, name)
    if plan.phase == STOPPED:
        return state, plan_to_json(name, plan.fields)
    if plan.phase not in (PROPOSED, RUNNING):
        raise Conflict(field="plan", plan=name, phase=plan.phase)
    new_state = with_plan(state, name, phase=STOPPED)
    return new_state, plan_to_json(name, new_state["plans"][name])


@QUERIES.entry("plans")
def show_plans(state: WireMap, query: WireMap) -> WireMap:
    """Return all stored plans."""
    return {"plans": [plan_to_json(name, p) for name, p in stored_plans(state).items()]}


@QUERIES.entry("plan")
def show_plan(state: WireMap, query: WireMap) -> WireMap:
    """Return one plan, or raise NotFound."""
    return plan_to_json(query["plan"], find_plan(state, query["plan"]).fields)
