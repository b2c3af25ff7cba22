"""Lots: accepted once durable in two domains, every item gets one result at its position."""

from quillring.lots.runner import LotRunner

__all__ = ["LotRunner"]
