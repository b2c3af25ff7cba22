"""The command line: subcommands that run roles, and subcommands for operators."""

from __future__ import annotations

import json
import os
import sys
from typing import TYPE_CHECKING, Any

import click

from quillring.kernel.errors import BadSetting, QuillringError
from quillring.kernel.settings import Settings, read_settings
from quillring.verbs.checks import check_settings
from quillring.verbs.client import send_request
from quillring.verbs.process import run_process
from quillring.verbs.show import format_reply

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

EXIT_USAGE, EXIT_REFUSED, EXIT_UNREACHABLE = 2, 3, 4


@click.group()
@click.version_option(package_name="quillring")
def main() -> None:
    """quillring: a serving tier with a batch interface."""


main.add_command(check_settings)


def register_role_command(role: str, text: str) -> None:
    """Register the subcommand that runs a role."""

    @click.option("--settings", "path", type=click.Path(), help="Settings file (JSON).")
    @click.option("--name", help="Name of the node.")
    @click.option("--domain", help="Domain (zone) of the machine.")
    @click.option("--address", help="IP:port for heartbeats and messages.")
    @click.option("--http-address", "http_address", help="IP:port of the HTTP interface.")
    @click.option(
        "--seed", "seeds", multiple=True, help="IP:port of another process; repeatable, up to 3."
    )
    @click.option("--folder", help="Data folder (store only).")
    @click.option(
        "--log-file",
        "log_file",
        help="File that recent log messages are appended to at each error.",
    )
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


register_role_command("edge", "Run an edge: it serves clients.")
register_role_command("core", "Run a core: it leads parts of the state and schedules work.")
register_role_command("store", "Run a store: it stores lots, results and layouts on disk.")


def node_options(function: Callable[..., None]) -> Callable[..., None]:
    """Add the options that every operator subcommand has."""
    function = click.option("--json", "as_json", is_flag=True, help="Print JSON.")(function)
    return click.option(
        "--node",
        required=True,
        metavar="IP:PORT",
        help="HTTP address of any live node.",
    )(function)


def send_and_print(node: str, method: str, path: str, body: Any, as_json: bool) -> None:
    """Send a request to a node and print the reply; exit with 3 on an error, 4 if unreachable."""
    try:
        answer = send_request(node, method, path, body)
    except QuillringError as error:
        click.echo(json.dumps(error.to_json()) if as_json else str(error), err=True)
        sys.exit(EXIT_UNREACHABLE if error.kind == "not_sent" else EXIT_REFUSED)
    click.echo(json.dumps(answer) if as_json else format_reply(answer))


def register_show_command(name: str, path: str, text: str) -> None:
    """Register a subcommand that prints the reply to one GET request."""

    @node_options
    def run_show(node: str, as_json: bool) -> None:
        send_and_print(node, "GET", path, None, as_json)

    main.command(name, help=text)(run_show)


register_show_command("members", "/v1/members", "Show the members of the fleet.")
register_show_command(
    "graph", "/v1/graph", "Show the connectivity graph: routes, sides and bridges."
)
register_show_command("parts", "/v1/parts", "Show the parts with their leaders and ballots.")
register_show_command("replicas", "/v1/replicas", "Show the replicas that a node knows.")
register_show_command("promises", "/v1/promises", "Show a node's recent service levels by class.")
register_show_command("counts", "/v1/counts", "Show a node's counters.")
register_show_command(
    "decisions", "/v1/decisions", "Show where a node recently sent requests, and why."
)
register_show_command(
    "traffic", "/v1/traffic", "Show a node's traffic by kind of message and zone of the peer."
)


@main.command()
@node_options
@click.option(
    "--parts", default=4, show_default=True, help="Number of parts besides the config part."
)
def found(node: str, as_json: bool, parts: int) -> None:
    """Found the fleet on the stores that are known now; safe to repeat."""
    send_and_print(node, "POST", "/v1/found", {"parts": parts}, as_json)


@main.group()
def layout() -> None:
    """Show and change the layout."""


@layout.command("show")
@node_options
def show_configuration(node: str, as_json: bool) -> None:
    """Show the layout that a node uses."""
    send_and_print(node, "GET", "/v1/layout", None, as_json)


@layout.command("apply")
@node_options
@click.argument("path", type=click.Path(exists=True))
@click.option(
    "--base-version",
    type=int,
    required=True,
    help="Version of the layout that the change is based on.",
)
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
    send_and_print(node, "PUT", "/v1/layout", body, as_json)


@main.command()
@node_options
@click.argument("domain")
@click.option("--undo", is_flag=True, help="Let the domain get new requests again.")
def empty(node: str, as_json: bool, domain: str, undo: bool) -> None:
    """Drain a domain: its replicas get no new requests."""
    method = "DELETE" if undo else "POST"
    send_and_print(node, method, f"/v1/domains/{domain}/emptying", {}, as_json)
