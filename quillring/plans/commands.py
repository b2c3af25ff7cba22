"""Commands and queries of the config part about plans, which are kept in its state."""

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
    KeptPlan,
    Progress,
    ProposePlan,
    StopPlan,
    show_plan_fields,
)
from quillring.quorum.commands import COMMANDS, QUERIES
from quillring.rollout.messages import ADOPT_CONFIGURATION, AdoptConfiguration

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.types import WireMap

KEPT_PLANS = 32
RUN_ALONE = ("retire_store", "empty_domain")


class StalePlan(QuillringError):
    """The plan was made against an older version of the state; propose it again."""

    kind = "stale_plan"
    status = 409


class Impossible(QuillringError):
    """The plan has unaccepted obstacles; those that name a consequence can be accepted."""

    kind = "impossible"
    status = 422


class Contradiction(QuillringError):
    """A running plan has the same target, or the same kind, one of RUN_ALONE."""

    kind = "contradiction"
    status = 409


def kept_plans(state: WireMap) -> dict[str, WireMap]:
    """Return {name: plan} of all kept plans, each in its form in the state."""
    plans: dict[str, WireMap] = state.get("plans", {})
    return plans


def find_plan(state: WireMap, name: str) -> KeptPlan:
    """Return a plan, or raise NotFound."""
    fields = kept_plans(state).get(name)
    if fields is None:
        raise NotFound(field="plan", plan=name)
    return KeptPlan.from_state(fields)


def with_plan(state: WireMap, name: str, **changes: Any) -> WireMap:
    """Return the state with some fields of a plan changed."""
    plans = kept_plans(state)
    return {**state, "plans": {**plans, name: {**plans[name], **changes}}}


@COMMANDS.entry(PROPOSE)
def propose_plan(state: WireMap, command: WireMap) -> tuple[WireMap, WireMap]:
    """Keep a plan until it is confirmed; idempotent by its id.

    Beyond KEPT_PLANS the oldest ones that are not running are dropped.
    """
    proposal, plans = ProposePlan.from_wire(command), kept_plans(state)
    if proposal.id in plans:
        return state, show_plan_fields(proposal.id, plans[proposal.id])
    idle_names = [name for name, fields in plans.items() if fields["phase"] != RUNNING]
    dropped_names = set(idle_names[: max(0, len(plans) - KEPT_PLANS + 1)])
    kept = {name: fields for name, fields in plans.items() if name not in dropped_names}
    fields = {**proposal.plan, "phase": PROPOSED, "done": 0}
    new_state = {**state, "plans": {**kept, proposal.id: fields}}
    return new_state, show_plan_fields(proposal.id, fields)


@COMMANDS.entry(CONFIRM)
def confirm_plan(state: WireMap, command: WireMap) -> tuple[WireMap, WireMap]:
    """Start a plan if it is not stale and all its obstacles are accepted; idempotent by the id.

    Raises NotFound, Conflict if it is not in phase `proposed`, StalePlan, Impossible or
    Contradiction.
    """
    confirmation = ConfirmPlan.from_wire(command)
    name = confirmation.plan
    plan = find_plan(state, name)
    if plan.phase != PROPOSED:
        if plan.confirmed_by == confirmation.id:
            return state, show_plan_fields(name, plan.fields)
        raise Conflict(field="plan", plan=name, phase=plan.phase)
    if plan.base_version != state["version"]:
        raise StalePlan(plan=name, made_against=plan.base_version, version=state["version"])
    obstacles = plan.unaccepted_obstacles(confirmation.accepted)
    if obstacles:
        raise Impossible(plan=name, obstacles=obstacles)
    check_contradictions(state, name, plan)
    new_state = with_plan(state, name, phase=RUNNING, confirmed_by=confirmation.id)
    return new_state, show_plan_fields(name, new_state["plans"][name])


def check_contradictions(state: WireMap, name: str, plan: KeptPlan) -> None:
    """Raise Contradiction if a running plan has the same target, or the same kind of RUN_ALONE."""
    for other_name, fields in kept_plans(state).items():
        other = KeptPlan.from_state(fields)
        is_same_target = other.intent.target == plan.intent.target
        run_alone = other.intent.kind == plan.intent.kind and plan.intent.kind in RUN_ALONE
        if other.phase == RUNNING and (is_same_target or run_alone):
            raise Contradiction(plan=name, running=other_name, target=other.title)


@COMMANDS.entry(COMPLETE_STEP)
def complete_step(state: WireMap, command: WireMap) -> tuple[WireMap, WireMap]:
    """Mark a step as done; a configuration step adopts its change in the same log entry.

    Does nothing unless it is the next step of a running plan. A change that is refused puts the
    plan into phase `failed`.
    """
    completion = CompleteStep.from_wire(command)
    name, number = completion.plan, completion.step
    plan = find_plan(state, name)
    if plan.phase != RUNNING or plan.done_steps != number:
        return state, Progress(plan.phase, plan.done_steps).to_wire()
    step = plan.step(number)
    if isinstance(step, ConfigurationStep):
        change_id = f"{name} step {number}"
        adoption = AdoptConfiguration(change_id, state["version"], step.change, is_complete=False)
        try:
            state, _ = COMMANDS.find(ADOPT_CONFIGURATION)(state, adoption.to_wire())
        except QuillringError as error:
            failed_state = with_plan(state, name, phase=FAILED, trouble=error.to_json())
            return failed_state, Progress(FAILED, plan.done_steps).to_wire()
    done_steps = number + 1
    phase = DONE if done_steps == plan.step_count() else RUNNING
    new_state = with_plan(state, name, done=done_steps, phase=phase)
    return new_state, Progress(phase, done_steps).to_wire()


@COMMANDS.entry(STOP)
def stop_plan(state: WireMap, command: WireMap) -> tuple[WireMap, WireMap]:
    """Stop a plan between two steps; completed steps are not undone.

    Idempotent: a stopped plan never runs again. Raises NotFound, or Conflict in another phase than
    `proposed` and `running`.
    """
    name = StopPlan.from_wire(command).plan
    plan = find_plan(state, name)
    if plan.phase == STOPPED:
        return state, show_plan_fields(name, plan.fields)
    if plan.phase not in (PROPOSED, RUNNING):
        raise Conflict(field="plan", plan=name, phase=plan.phase)
    new_state = with_plan(state, name, phase=STOPPED)
    return new_state, show_plan_fields(name, new_state["plans"][name])


@QUERIES.entry("plans")
def show_plans(state: WireMap, query: WireMap) -> WireMap:
    """Return all kept plans."""
    return {"plans": [show_plan_fields(name, p) for name, p in kept_plans(state).items()]}


@QUERIES.entry("plan")
def show_plan(state: WireMap, query: WireMap) -> WireMap:
    """Return one plan, or raise NotFound."""
    return show_plan_fields(query["plan"], find_plan(state, query["plan"]).fields)
