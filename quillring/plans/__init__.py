"""Operators state an intent, see a plan, confirm it; progress is visible, stopping is sound."""

from quillring.plans import commands
from quillring.plans.planner import make_plan
from quillring.plans.runner import PlanRunner

__all__ = ["PlanRunner", "commands", "make_plan"]
