"""Plans: an operator states an intent, reviews the plan and confirms it; it can be stopped."""

from quillring.plans import commands
from quillring.plans.planner import make_plan
from quillring.plans.runner import PlanRunner

__all__ = ["PlanRunner", "commands", "make_plan"]
