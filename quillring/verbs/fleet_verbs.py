"""Operator subcommands: status of every node, logs, members, plans, maintenance windows."""

from __future__ import annotations

import datetime
import json
import sys
from typing import TYPE_CHECKING, Any

import click

from quillring.kernel.errors import QuillringError
from quillring.plans.maintenance_windows import read_windows
from quillring.verbs.cli import EXIT_REFUSED, main, node_options, send_and_print
from quillring.verbs.client import send_request
from quillring.verbs.show import format_reply

if TYPE_CHECKING:
    from collections.abc import Sequence


@main.command()
@node_options
def fleet(node: str, as_json: bool) -> None:
    """Show every node: role, layout version, freshness, requests in flight, health.

    The exit code is 3 if a node does not answer.
    """
    try:
        members = send_request(node, "GET", "/v1/members")["members"]
    except QuillringError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_REFUSED)
    rows = [status_row(member) for member in members]
    click.echo(json.dumps({"nodes": rows}) if as_json else format_reply({"nodes": rows}))
    sys.exit(0 if all(row["answer"] == "ok" for row in rows) else EXIT_REFUSED)


def status_row(member: dict[str, Any]) -> dict[str, Any]:
    """Return the row of one node; `answer` is "ok" or the kind of the error."""
    identity = {"name": member["name"], "role": member["role"], "domain": member["domain"]}
    fields = ("layout_version", "is_fresh", "under_way", "is_draining", "is_cut", "disk_error")
    try:
        status = send_request(f"{member['host']}:{member['http_port']}", "GET", "/v1/status")
    except QuillringError as error:
        return {**identity, **dict.fromkeys(fields), "answer": error.kind}
    return {**identity, **{field: status.get(field) for field in fields}, "answer": "ok"}


@main.command()
@node_options
def log(node: str, as_json: bool) -> None:
    """Show the recent log messages of a node."""
    answer = get_or_exit(node, "/v1/log")
    click.echo(json.dumps(answer) if as_json else "\n".join(answer["log"]))


def get_or_exit(node: str, path: str) -> Any:
    """Return the reply to a GET request; print any error and exit with 3."""
    try:
        return send_request(node, "GET", path)
    except QuillringError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_REFUSED)


@main.command()
@node_options
@click.argument("name")
def forget(node: str, as_json: bool, name: str) -> None:
    """Remove a member that was shut down permanently."""
    send_and_print(node, "DELETE", f"/v1/members/{name}", None, as_json)


@main.group()
def plan() -> None:
    """Propose, show, confirm and stop plans."""


def register_intent_command(name: str, kind: str, text: str, has_service: bool = False) -> None:
    """Register the subcommand that proposes a plan of one kind."""

    @node_options
    @click.argument("target")
    def propose(node: str, as_json: bool, target: str, service: str | None = None) -> None:
        body = {"kind": kind, "target": target, **({"service": service} if service else {})}
        send_and_print(node, "POST", "/v1/plans", body, as_json)

    if has_service:
        propose = click.argument("service")(propose)
    plan.command(name, help=text)(propose)


register_intent_command("empty-domain", "empty_domain", "Propose to drain a domain.")
register_intent_command(
    "refill-domain", "refill_domain", "Propose to give a drained domain new requests again."
)
register_intent_command("retire-store", "retire_store", "Propose to remove a store from all parts.")
register_intent_command(
    "restore-store", "restore_store", "Propose to make a retired store eligible for parts again."
)
register_intent_command(
    "move-entry", "move_entry", "Propose to point an entry at another SERVICE.", True
)


@plan.command("show")
@node_options
@click.argument("name", required=False)
def show(node: str, as_json: bool, name: str | None) -> None:
    """Show all plans, or one with its steps and progress."""
    send_and_print(node, "GET", f"/v1/plans/{name}" if name else "/v1/plans", None, as_json)


@plan.command("confirm")
@node_options
@click.argument("name")
@click.option("--accept", multiple=True, help="A consequence of the plan to accept; repeatable.")
def confirm(node: str, as_json: bool, name: str, accept: Sequence[str]) -> None:
    """Confirm a plan, which starts it."""
    send_and_print(node, "POST", f"/v1/plans/{name}/confirm", {"accept": list(accept)}, as_json)


@plan.command("stop")
@node_options
@click.argument("name")
def stop(node: str, as_json: bool, name: str) -> None:
    """Stop a plan; completed steps are not undone."""
    send_and_print(node, "POST", f"/v1/plans/{name}/stop", {}, as_json)


@main.command()
@node_options
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@click.option("--days", default=7, show_default=True, help="Days to look ahead.")
@click.option(
    "--propose", is_flag=True, help="Also propose a plan for each window that is open now."
)
def windows(node: str, as_json: bool, path: str, days: int, propose: bool) -> None:
    """Show the maintenance windows in an iCalendar file.

    A summary such as "empty DOMAIN" or "retire STORE" states the plan to propose.
    """
    now = datetime.datetime.now(datetime.UTC)
    try:
        with open(path, "rb") as calendar_file:
            calendar_windows = read_windows(
                calendar_file.read(), now, now + datetime.timedelta(days=days)
            )
        open_intents = [
            window.intent
            for window in calendar_windows
            if window.intent and datetime.datetime.fromisoformat(window.start) <= now
        ]
        plans = (
            [send_request(node, "POST", "/v1/plans", intent) for intent in open_intents]
            if propose
            else []
        )
    except QuillringError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_REFUSED)
    answer = {"windows": [window.to_json() for window in calendar_windows], "plans": plans}
    click.echo(json.dumps(answer) if as_json else format_reply(answer))
