"""Roll-out of layouts: checked, committed in the config part, fresh on every live node."""

from quillring.rollout import editions, marks
from quillring.rollout.freshness import Freshness
from quillring.rollout.image import LayoutImage

__all__ = ["Freshness", "LayoutImage", "editions", "marks"]
