"""The form in which all versions store plans and exchange commands about them."""

import cbor2
import pytest

from quillring.plans.messages import (
    CompleteStep,
    ConfigurationStep,
    ConfirmPlan,
    Intent,
    Obstacle,
    Plan,
    PlanProgress,
    ProposePlan,
    StopPlan,
    StoredPlan,
    WaitStep,
    make_plan_query,
    plan_to_json,
)

INTENT = {"target": "north", "kind": "empty_domain"}
STEPS = [
    {"do": "layout", "text": "empty it", "change": {"domains": {"north": {"emptied": True}}}},
    {"do": "wait", "text": "wait for it", "until": "domain_idle", "target": "north"},
]
PLAN_FIELDS = {
    "intent": INTENT,
    "target": "empty_domain north",
    "steps": STEPS,
    "obstacles": [
        {"consequence": "less_room", "text": "words"},
        {"consequence": None, "text": "x"},
    ],
    "moves": ["words-1 goes"],
    "against": {"version": 4},
}
PLAN = Plan(
    INTENT,
    [
        ConfigurationStep("empty it", {"domains": {"north": {"emptied": True}}}),
        WaitStep("wait for it", "domain_idle", "north"),
    ],
    [Obstacle("less_room", "words"), Obstacle(None, "x")],
    ["words-1 goes"],
    4,
)
COMMANDS = [
    (ProposePlan("p", PLAN_FIELDS), {"do": "plan.propose", "id": "p", "plan": PLAN_FIELDS}),
    (
        ConfirmPlan("p", ["less_room"], "op"),
        {"do": "plan.confirm", "plan": "p", "accept": ["less_room"], "id": "op"},
    ),
    (CompleteStep("p", 1), {"do": "plan.step", "plan": "p", "step": 1}),
    (StopPlan("p"), {"do": "plan.stop", "plan": "p"}),
]


@pytest.mark.parametrize("command, wire_form", COMMANDS, ids=lambda value: type(value).__name__)
def test_command_has_the_wire_form_shared_by_all_versions(command, wire_form):
    packed = cbor2.dumps(wire_form)
    assert cbor2.dumps(command.to_wire()) == packed
    assert type(command).from_wire(cbor2.loads(packed)) == command


def test_plan_has_the_stored_form_shared_by_all_versions():
    assert PLAN.to_state() == PLAN_FIELDS
    assert cbor2.dumps(PLAN.to_state()) == cbor2.dumps(PLAN_FIELDS)


def test_stored_plan_is_read_by_field_name_and_preserves_fields_of_another_version():
    stored_fields = {**PLAN_FIELDS, "phase": "running", "done": 1, "confirmed_by": "op", "new": 1}
    plan = StoredPlan.from_state(stored_fields)
    assert plan.intent == Intent("empty_domain", "north", None)
    assert (plan.title, plan.base_version) == ("empty_domain north", 4)
    assert (plan.phase, plan.done_steps, plan.confirmed_by) == ("running", 1, "op")
    assert [plan.step(number) for number in range(plan.step_count())] == PLAN.steps
    assert plan.unaccepted_obstacles(["less_room"]) == [{"consequence": None, "text": "x"}]
    assert plan.fields is stored_fields
    assert plan_to_json("p", stored_fields) == {"plan": "p", **stored_fields}


def test_answers_and_queries_have_the_form_shared_by_all_versions():
    assert PlanProgress("done", 2).to_wire() == {"phase": "done", "done": 2}
    assert make_plan_query("p") == {"ask": "plan", "plan": "p"}
