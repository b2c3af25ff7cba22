"""Lots submitted over `/v1/lots`: items are prompts to one entry of the configuration."""

from quillring.lots.prompts.scheduler import PromptLotScheduler

__all__ = ["PromptLotScheduler"]
