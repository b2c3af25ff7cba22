"""Forwarding: requests passed to replicas unchanged, placed by tokens, resumed where allowed."""

from quillring.forward.events import EventReader
from quillring.forward.header_names import Dialect
from quillring.forward.load_balancer import Placement
from quillring.forward.request import Request
from quillring.forward.route_table import ForwardTable

__all__ = ["Dialect", "EventReader", "ForwardTable", "Placement", "Request"]
