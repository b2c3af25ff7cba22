"""Durable state of a store machine: two slots written in turn, a short log between."""

from quillring.store.disk import FolderDisk
from quillring.store.slots import SlotStore

__all__ = ["FolderDisk", "SlotStore"]
