"""Lots of the own interface: items are prompts to one entry of the configuration."""
