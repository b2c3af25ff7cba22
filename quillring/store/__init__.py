"""Durable state of a store machine: a write-ahead log with two alternating checkpoints."""

from quillring.store.checkpointed_log import CheckpointedLog
from quillring.store.disk import FolderDisk

__all__ = ["CheckpointedLog", "FolderDisk"]
