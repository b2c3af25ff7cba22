"""Roll-out of configurations: validated, committed by the config part, fresh on live nodes."""

from quillring.rollout import configuration_versions, operator_orders
from quillring.rollout.freshness import Freshness
from quillring.rollout.snapshot import ConfigurationSnapshot

__all__ = ["Freshness", "ConfigurationSnapshot", "configuration_versions", "operator_orders"]
