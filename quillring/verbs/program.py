"""Entry point of the command line; importing a module registers its subcommands."""

from quillring.verbs import fleet_verbs, restart
from quillring.verbs.cli import main

PLUGINS = (fleet_verbs, restart)
__all__ = ["main"]
