"""Lots of the own interface: items are prompts to one entry of the configuration."""

from quillring.lots.prompts.scheduler import PromptLotScheduler

__all__ = ["PromptLotScheduler"]
