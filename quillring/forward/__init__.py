"""Forwarding of unchanged requests to replicas: load balancing, retries, stream resumption."""

from quillring.forward.decision_log import DecisionLog
from quillring.forward.events import EventReader
from quillring.forward.header_names import HeaderNames
from quillring.forward.load_balancer import LoadBalancer
from quillring.forward.request import Request
from quillring.forward.route_table import ForwardRouteTable

__all__ = [
    "DecisionLog",
    "EventReader",
    "ForwardRouteTable",
    "HeaderNames",
    "LoadBalancer",
    "Request",
]
