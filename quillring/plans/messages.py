"""Plans, their steps and the commands about them, with their forms in the log and the state."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from quillring.kernel.types import WireMap

PROPOSE = "plan.propose"
CONFIRM = "plan.confirm"
COMPLETE_STEP = "plan.step"
STOP = "plan.stop"

READ_PLANS: WireMap = {"ask": "plans"}

PROPOSED, RUNNING, DONE, STOPPED, FAILED = "proposed", "running", "done", "stopped", "failed"

CONFIGURATION_STEP, WAIT_STEP = "layout", "wait"


def make_plan_query(plan: str) -> WireMap:
    """Return the query for one plan."""
    return {"ask": "plan", "plan": plan}


class Intent(NamedTuple):
    """An operator's goal: a kind of plan and its target; `move_entry` also needs a service."""

    kind: str
    target: str
    service: str | None = None

    @classmethod
    def from_wire(cls, fields: WireMap) -> Intent:
        """Parse the intent as the operator sent it."""
        return cls(fields["kind"], fields["target"], fields.get("service"))


class ConfigurationStep(NamedTuple):
    """A step that adopts a partial configuration."""

    text: str
    change: WireMap

    def to_state(self) -> WireMap:
        """Return the step in its form in the state."""
        return {"do": CONFIGURATION_STEP, "text": self.text, "change": self.change}


class WaitStep(NamedTuple):
    """A step that waits until a condition about a target is true."""

    text: str
    condition: str
    target: str

    def to_state(self) -> WireMap:
        """Return the step in its form in the state."""
        return {"do": WAIT_STEP, "text": self.text, "until": self.condition, "target": self.target}


Step = ConfigurationStep | WaitStep


def step_from_state(fields: WireMap) -> Step:
    """Read a step from its form in the state."""
    if fields["do"] == WAIT_STEP:
        return WaitStep(fields["text"], fields["until"], fields["target"])
    return ConfigurationStep(fields["text"], fields["change"])


class Obstacle(NamedTuple):
    """A reason against a plan; an operator can accept its `consequence`, unless that is None."""

    consequence: str | None
    text: str

    def to_state(self) -> WireMap:
        """Return the obstacle in its form in the state."""
        return {"consequence": self.consequence, "text": self.text}


class Plan(NamedTuple):
    """A plan based on a version of the configuration.

    `stated_intent` is the intent exactly as the operator sent it; `moves` describes to
    operators what stops, and what moves where.
    """

    stated_intent: WireMap
    steps: list[Step]
    obstacles: list[Obstacle]
    moves: list[str]
    base_version: int

    def to_state(self) -> WireMap:
        """Return the plan in its form in the state."""
        intent = Intent.from_wire(self.stated_intent)
        return {
            "intent": self.stated_intent,
            "target": f"{intent.kind} {intent.target}",
            "steps": [step.to_state() for step in self.steps],
            "obstacles": [obstacle.to_state() for obstacle in self.obstacles],
            "moves": self.moves,
            "against": {"version": self.base_version},
        }


class StoredPlan(NamedTuple):
    """A plan in the state, with the fields that commands use.

    `fields` is the complete record; it preserves fields that this release does not know.
    """

    intent: Intent
    title: str
    base_version: int
    phase: str
    done_steps: int
    confirmed_by: str | None
    fields: WireMap

    @classmethod
    def from_state(cls, fields: WireMap) -> StoredPlan:
        """Read a plan from its form in the state."""
        return cls(
            Intent.from_wire(fields["intent"]),
            fields["target"],
            fields["against"]["version"],
            fields["phase"],
            fields["done"],
            fields.get("confirmed_by"),
            fields,
        )

    def step(self, number: int) -> Step:
        """Return a step by its number, from 0."""
        return step_from_state(self.fields["steps"][number])

    def step_count(self) -> int:
        """Return the number of steps."""
        return len(self.fields["steps"])

    def unaccepted_obstacles(self, accepted: list[str]) -> list[WireMap]:
        """Return the obstacles whose consequences are not among those accepted."""
        obstacles: list[WireMap] = self.fields["obstacles"]
        return [obstacle for obstacle in obstacles if obstacle["consequence"] not in accepted]


class ProposePlan(NamedTuple):
    """`plan.propose`: store a plan under an id until it is confirmed."""

    id: str
    plan: WireMap

    @classmethod
    def from_wire(cls, command: WireMap) -> ProposePlan:
        """Read the command from its form in the log."""
        return cls(command["id"], command["plan"])

    def to_wire(self) -> WireMap:
        """Return the command in its form in the log."""
        return {"do": PROPOSE, "id": self.id, "plan": self.plan}


class ConfirmPlan(NamedTuple):
    """`plan.confirm`: start a plan and accept the given consequences."""

    plan: str
    accepted: list[str]
    id: str

    @classmethod
    def from_wire(cls, command: WireMap) -> ConfirmPlan:
        """Read the command from its form in the log."""
        return cls(command["plan"], command.get("accept", []), command["id"])

    def to_wire(self) -> WireMap:
        """Return the command in its form in the log."""
        return {"do": CONFIRM, "plan": self.plan, "accept": self.accepted, "id": self.id}


class CompleteStep(NamedTuple):
    """`plan.step`: mark a step as done by its number; this also applies a configuration step."""

    plan: str
    step: int

    @classmethod
    def from_wire(cls, command: WireMap) -> CompleteStep:
        """Read the command from its form in the log."""
        return cls(command["plan"], command["step"])

    def to_wire(self) -> WireMap:
        """Return the command in its form in the log."""
        return {"do": COMPLETE_STEP, "plan": self.plan, "step": self.step}


class StopPlan(NamedTuple):
    """`plan.stop`: stop a plan; completed steps are not undone."""

    plan: str

    @classmethod
    def from_wire(cls, command: WireMap) -> StopPlan:
        """Read the command from its form in the log."""
        return cls(command["plan"])

    def to_wire(self) -> WireMap:
        """Return the command in its form in the log."""
        return {"do": STOP, "plan": self.plan}


def plan_to_json(name: str, fields: WireMap) -> WireMap:
    """Return a plan as the HTTP interface shows it."""
    return {"plan": name, **fields}


class PlanProgress(NamedTuple):
    """The reply to `plan.step`: the plan's phase, and the number of completed steps."""

    phase: Any
    done_steps: int

    def to_wire(self) -> WireMap:
        """Return the reply in its wire form."""
        return {"phase": self.phase, "done": self.done_steps}
