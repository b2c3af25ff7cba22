"""Rollout of configurations: validation, commit by the config part, freshness on nodes."""

from quillring.rollout import configuration_versions, operator_orders
from quillring.rollout.freshness import Freshness
from quillring.rollout.snapshot import ConfigurationSnapshot

__all__ = ["Freshness", "ConfigurationSnapshot", "configuration_versions", "operator_orders"]
