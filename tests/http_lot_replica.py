"""Raw replicas for the tests, re-exported from the simulator."""

from proving.sim.raw_replicas import (
    EVENT_SECONDS,
    SERVICE,
    RawBackends,
    RawHandle,
    RawReplica,
    RawRuntime,
    text_of,
)

__all__ = [
    "EVENT_SECONDS",
    "SERVICE",
    "RawBackends",
    "RawHandle",
    "RawReplica",
    "RawRuntime",
    "text_of",
]
