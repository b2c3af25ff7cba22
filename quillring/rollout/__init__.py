"""Roll-out of layouts: checked, committed in the config part, fresh on every live node."""

from quillring.rollout import configuration_versions, operator_orders
from quillring.rollout.freshness import Freshness
from quillring.rollout.snapshot import ConfigurationSnapshot

__all__ = ["Freshness", "ConfigurationSnapshot", "configuration_versions", "operator_orders"]
