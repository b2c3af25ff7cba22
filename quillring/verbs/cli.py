"""The program: subcommands that run roles, and subcommands for operators."""

from __future__ import annotations

import json
import os
import sys
from typing import TYPE_CHECKING, Any

import click

from quillring.kernel.errors import BadSetting, QuillringError
from quillring.kernel.settings import Settings, read_settings
from quillring.verbs.checks import check_settings
from quillring.verbs.client import ask
from quillring.verbs.process import run_process
from quillring.verbs.show import show_table

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

EXIT_USAGE, EXIT_REFUSED, EXIT_UNREACHABLE = 2, 3, 4


@click.group()
@click.version_option(package_name="quillring")
def main() -> None:
    """quillring: a serving tier with a batch interface."""


main.add_command(check_settings)


def role_command(role: str, text: str) -> None:
    """Register the subcommand that runs a role."""

    @click.option("--settings", "path", type=click.Path(), help="Settings file (JSON).")
    @click.option("--name", help="Name of the node.")
    @click.option("--domain", help="Domain the machine stands in.")
    @click.option("--address", help="IP:port of heartbeats and messages.")
    @click.option("--http-address", "http_address", help="IP:port of the HTTP interface.")
    @click.option("--seed", "seeds", multiple=True, help="IP:port of another process; up to 3.")
    @click.option("--folder", help="Data folder (store only).")
    @click.option("--log-file", "log_file", help="Where the ring log is written out.")
    def run_role(path: str | None, **flags: Any) -> None:
        flags = {**flags, "role": role, "seeds": list(flags["seeds"])}
        settings: Settings | None = None
        faults: Sequence[str] = ()
        try:
            settings = read_settings(path, flags)
        except* BadSetting as group:
            faults = [e.detail["fault"] for e in group.exceptions if isinstance(e, BadSetting)]
        if faults or settings is None:
            click.echo("\n".join(f"quillring {role}: {fault}" for fault in faults), err=True)
            sys.exit(EXIT_USAGE)
        try:
            run_process(settings, lambda: read_settings(path, flags))
        except (QuillringError, OSError) as error:
            click.echo(f"quillring {role}: {error}", err=True)
            sys.exit(EXIT_REFUSED)

    main.command(role, help=text)(run_role)


role_command("edge", "Run an edge: it serves callers.")
role_command("core", "Run a core: it owns parts of the state and decides what runs where.")
role_command("store", "Run a store: it keeps lots, results and layouts on disk.")


def node_options(function: Callable[..., None]) -> Callable[..., None]:
    """Add the options that every operator subcommand has."""
    function = click.option("--json", "as_json", is_flag=True, help="Print JSON.")(function)
    return click.option(
        "--node",
        required=True,
        metavar="IP:PORT",
        help="HTTP address of any live node.",
    )(function)


def run_verb(node: str, method: str, path: str, body: Any, as_json: bool) -> None:
    """Send a request to a node and print its answer; exit 3 on an error, 4 if it is unreachable."""
    try:
        answer = ask(node, method, path, body)
    except QuillringError as error:
        click.echo(json.dumps(error.to_json()) if as_json else str(error), err=True)
        sys.exit(EXIT_UNREACHABLE if error.kind == "not_sent" else EXIT_REFUSED)
    click.echo(json.dumps(answer) if as_json else show_table(answer))


def show_command(name: str, path: str, text: str) -> None:
    """Register a subcommand that shows the answer to one GET request."""

    @node_options
    def run_show(node: str, as_json: bool) -> None:
        run_verb(node, "GET", path, None, as_json)

    main.command(name, help=text)(run_show)


show_command("members", "/v1/members", "Show the peers.")
show_command("graph", "/v1/graph", "Show the graph, routes, sides and bridges.")
show_command("parts", "/v1/parts", "Show the parts with owners and ballots.")
show_command("replicas", "/v1/replicas", "Show the replicas.")
show_command("promises", "/v1/promises", "Show how a node kept each class's promise lately.")
show_command("counts", "/v1/counts", "Show a node's counters.")
show_command("decisions", "/v1/decisions", "Show where a node sent requests, and why.")
show_command("traffic", "/v1/traffic", "Show a node's bytes by kind of message and zone.")


@main.command()
@node_options
@click.option("--parts", default=4, show_default=True, help="Parts beside the config part.")
def found(node: str, as_json: bool, parts: int) -> None:
    """Found the fleet on the stores now known; safe to repeat."""
    run_verb(node, "POST", "/v1/found", {"parts": parts}, as_json)


@main.group()
def layout() -> None:
    """Show and change the layout."""


@layout.command("show")
@node_options
def show_configuration(node: str, as_json: bool) -> None:
    """Show the layout a node acts on."""
    run_verb(node, "GET", "/v1/layout", None, as_json)


@layout.command("apply")
@node_options
@click.argument("path", type=click.Path(exists=True))
@click.option("--base-version", type=int, required=True, help="Version it was made against.")
@click.option("--whole", is_flag=True, help="Replace the layout instead of merging into it.")
def apply_configuration(
    node: str, as_json: bool, path: str, base_version: int, whole: bool
) -> None:
    """Apply a layout file."""
    try:
        with open(path, encoding="utf-8") as configuration_file:
            change = json.load(configuration_file)
    except ValueError as error:
        raise click.UsageError(f"{path}: {error}") from error
    body = {
        "base_version": base_version,
        "layout": change,
        "whole": whole,
        "id": os.urandom(8).hex(),
    }
    run_verb(node, "PUT", "/v1/layout", body, as_json)


@main.command()
@node_options
@click.argument("domain")
@click.option("--undo", is_flag=True, help="Let the domain get work again.")
def empty(node: str, as_json: bool, domain: str, undo: bool) -> None:
    """Empty a domain: its replicas get nothing new."""
    method = "DELETE" if undo else "POST"
    run_verb(node, method, f"/v1/domains/{domain}/emptying", {}, as_json)
