"""Commands and queries of the config part that keep plans."""

from quillring.kernel.errors import Conflict, NotFound, QuillringError
from quillring.quorum.commands import COMMANDS, QUERIES

KEPT_PLANS = 32
PROPOSED, RUNNING, DONE, STOPPED, FAILED = "proposed", "running", "done", "stopped", "failed"


class StalePlan(QuillringError):
    """The plan was made against an older state; make it anew."""

    kind = "stale_plan"
    status = 409


class Impossible(QuillringError):
    """Obstacles stand in the way; some may be accepted as named consequences."""

    kind = "impossible"
    status = 422


class Contradiction(QuillringError):
    """Another plan that is under way speaks against this one."""

    kind = "contradiction"
    status = 409


def _with_plan(state, name, **changes):
    plans = state.get("plans", {})
    return {**state, "plans": {**plans, name: {**plans[name], **changes}}}


def find_plan(state, name):
    """Return a plan, or raise NotFound."""
    plan = state.get("plans", {}).get(name)
    if plan is None:
        raise NotFound(field="plan", plan=name)
    return plan


@COMMANDS.entry("plan.propose")
def propose_plan(state, command):
    """Keep a plan until it is confirmed; nothing else changes."""
    plans = state.get("plans", {})
    if command["id"] in plans:
        return state, {"plan": command["id"], **plans[command["id"]]}
    ended = [n for n, p in plans.items() if p["phase"] != RUNNING]
    dropped = set(ended[: max(0, len(plans) - KEPT_PLANS + 1)])
    kept = {n: p for n, p in plans.items() if n not in dropped}
    plan = {**command["plan"], "phase": PROPOSED, "done": 0}
    return {**state, "plans": {**kept, command["id"]: plan}}, {"plan": command["id"], **plan}


@COMMANDS.entry("plan.confirm")
def confirm_plan(state, command):
    """Start a plan, once, if it is not stale and nothing unaccepted stands in the way."""
    plan = find_plan(state, command["plan"])
    if plan["phase"] != PROPOSED:
        if plan.get("confirmed_by") == command["id"]:
            return state, {"plan": command["plan"], **plan}
        raise Conflict(field="plan", plan=command["plan"], phase=plan["phase"])
    if plan["against"]["version"] != state["version"]:
        raise StalePlan(
            plan=command["plan"],
            made_against=plan["against"]["version"],
            version=state["version"],
        )
    refused = [o for o in plan["obstacles"] if o["consequence"] not in command["accept"]]
    if refused:
        raise Impossible(plan=command["plan"], obstacles=refused)
    kind, target = plan["intent"]["kind"], plan["intent"]["target"]
    for name, other in state.get("plans", {}).items():
        is_same = other["intent"]["target"] == target
        are_retirings = kind == other["intent"]["kind"] == "retire_store"
        are_emptyings = kind == other["intent"]["kind"] == "empty_domain"
        if other["phase"] == RUNNING and (is_same or are_retirings or are_emptyings):
            raise Contradiction(plan=command["plan"], running=name, target=other["target"])
    new_state = _with_plan(state, command["plan"], phase=RUNNING, confirmed_by=command["id"])
    return new_state, {"plan": command["plan"], **new_state["plans"][command["plan"]]}


@COMMANDS.entry("plan.step")
def step_plan(state, command):
    """Note that a step is done; a layout step adopts its change in the same entry."""
    plan = find_plan(state, command["plan"])
    if plan["phase"] != RUNNING or plan["done"] != command["step"]:
        return state, {"phase": plan["phase"], "done": plan["done"]}
    step = plan["steps"][command["step"]]
    if step["do"] == "layout":
        try:
            state, _ = COMMANDS.find("layout.adopt")(
                state,
                {
                    "id": f"{command['plan']} step {command['step']}",
                    "whole": False,
                    "base_version": state["version"],
                    "change": step["change"],
                },
            )
        except QuillringError as error:
            failed = _with_plan(state, command["plan"], phase=FAILED, trouble=error.to_json())
            return failed, {"phase": FAILED, "done": plan["done"]}
    done = command["step"] + 1
    phase = DONE if done == len(plan["steps"]) else RUNNING
    return _with_plan(state, command["plan"], done=done, phase=phase), {
        "phase": phase,
        "done": done,
    }


@COMMANDS.entry("plan.stop")
def stop_plan(state, command):
    """Stop a plan between two steps; what is done stays as it is, which is sound.

    A plan that was stopped stays stopped, so the order may be repeated and may come late.
    """
    plan = find_plan(state, command["plan"])
    if plan["phase"] == STOPPED:
        return state, {"plan": command["plan"], **plan}
    if plan["phase"] not in (PROPOSED, RUNNING):
        raise Conflict(field="plan", plan=command["plan"], phase=plan["phase"])
    new_state = _with_plan(state, command["plan"], phase=STOPPED)
    return new_state, {"plan": command["plan"], **new_state["plans"][command["plan"]]}


@QUERIES.entry("plans")
def show_plans(state, query):
    """Return all kept plans."""
    return {"plans": [{"plan": n, **p} for n, p in state.get("plans", {}).items()]}


@QUERIES.entry("plan")
def show_plan(state, query):
    """Return one plan."""
    return {"plan": query["plan"], **find_plan(state, query["plan"])}
