"""Plans: an operator proposes a plan for an intent, reviews it and confirms it, or stops it."""

from quillring.plans import commands
from quillring.plans.planner import make_plan
from quillring.plans.runner import PlanRunner

__all__ = ["PlanRunner", "commands", "make_plan"]
