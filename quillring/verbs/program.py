"""Entry point of the program: every subcommand is registered by importing its module."""

from quillring.verbs import fleet_verbs, restart
from quillring.verbs.cli import main

PLUGINS = (fleet_verbs, restart)
__all__ = ["main"]
