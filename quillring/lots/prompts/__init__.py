"""Batch jobs (lots) of prompts, submitted over `/v1/lots` for one entry of the configuration."""

from quillring.lots.prompts.scheduler import PromptLotScheduler

__all__ = ["PromptLotScheduler"]
