"""Operator subcommands over the fleet: status of every node, logs, plans, maintenance windows."""

from __future__ import annotations

import datetime
import json
import sys
from typing import TYPE_CHECKING, Any

import click

from quillring.kernel.errors import QuillringError
from quillring.plans.maintenance_windows import read_windows
from quillring.verbs.cli import EXIT_REFUSED, main, node_options, run_verb
from quillring.verbs.client import ask
from quillring.verbs.show import show_table

if TYPE_CHECKING:
    from collections.abc import Sequence


@main.command()
@node_options
def fleet(node: str, as_json: bool) -> None:
    """Show every node: role, layout version, freshness, work under way."""
    try:
        members = ask(node, "GET", "/v1/members")["members"]
    except QuillringError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_REFUSED)
    rows = [status_of(member) for member in members]
    click.echo(json.dumps({"nodes": rows}) if as_json else show_table({"nodes": rows}))
    sys.exit(0 if all(row["answer"] == "ok" for row in rows) else EXIT_REFUSED)


def status_of(member: dict[str, Any]) -> dict[str, Any]:
    """Return one node's row; for a node that fails, `answer` is the kind of its error."""
    blank = {"name": member["name"], "role": member["role"], "domain": member["domain"]}
    fields = ("layout_version", "is_fresh", "under_way", "is_draining", "is_cut", "disk_error")
    try:
        status = ask(f"{member['host']}:{member['http_port']}", "GET", "/v1/status")
    except QuillringError as error:
        return {**blank, **dict.fromkeys(fields), "answer": error.kind}
    return {**blank, **{field: status.get(field) for field in fields}, "answer": "ok"}


@main.command()
@node_options
def log(node: str, as_json: bool) -> None:
    """Fetch the ring log of a node."""
    answer = ask_or_exit(node, "/v1/log")
    click.echo(json.dumps(answer) if as_json else "\n".join(answer["log"]))


def ask_or_exit(node: str, path: str) -> Any:
    """Return the answer to a GET request; exit 3 on any error."""
    try:
        return ask(node, "GET", path)
    except QuillringError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_REFUSED)


@main.command()
@node_options
@click.argument("name")
def forget(node: str, as_json: bool, name: str) -> None:
    """Forget a member that is gone for good."""
    run_verb(node, "DELETE", f"/v1/members/{name}", None, as_json)


@main.group()
def plan() -> None:
    """State an intent, see the plan, confirm it, follow it, stop it."""


def intent_command(name: str, kind: str, text: str, has_service: bool = False) -> None:
    """Register the subcommand that proposes one kind of plan."""

    @node_options
    @click.argument("target")
    def propose(node: str, as_json: bool, target: str, service: str | None = None) -> None:
        body = {"kind": kind, "target": target, **({"service": service} if service else {})}
        run_verb(node, "POST", "/v1/plans", body, as_json)

    if has_service:
        propose = click.argument("service")(propose)
    plan.command(name, help=text)(propose)


intent_command("empty-domain", "empty_domain", "Plan to empty a domain of work.")
intent_command("refill-domain", "refill_domain", "Plan to give a domain work again.")
intent_command("retire-store", "retire_store", "Plan to take a store machine out of all parts.")
intent_command("restore-store", "restore_store", "Plan to let a retired store machine back in.")
intent_command("move-entry", "move_entry", "Plan to point an entry at another SERVICE.", True)


@plan.command("show")
@node_options
@click.argument("name", required=False)
def show(node: str, as_json: bool, name: str | None) -> None:
    """Show all plans, or one with its steps and progress."""
    run_verb(node, "GET", f"/v1/plans/{name}" if name else "/v1/plans", None, as_json)


@plan.command("confirm")
@node_options
@click.argument("name")
@click.option("--accept", multiple=True, help="A consequence that the plan names.")
def confirm(node: str, as_json: bool, name: str, accept: Sequence[str]) -> None:
    """Run a plan."""
    run_verb(node, "POST", f"/v1/plans/{name}/confirm", {"accept": list(accept)}, as_json)


@plan.command("stop")
@node_options
@click.argument("name")
def stop(node: str, as_json: bool, name: str) -> None:
    """Stop a plan between two steps."""
    run_verb(node, "POST", f"/v1/plans/{name}/stop", {}, as_json)


@main.command()
@node_options
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@click.option("--days", default=7, show_default=True, help="How far to look ahead.")
@click.option("--propose", is_flag=True, help="Propose plans for the windows open now.")
def windows(node: str, as_json: bool, path: str, days: int, propose: bool) -> None:
    """Read maintenance windows ("empty DOMAIN", "retire STORE") from an iCalendar file."""
    now = datetime.datetime.now(datetime.UTC)
    try:
        with open(path, "rb") as calendar_file:
            found = read_windows(calendar_file.read(), now, now + datetime.timedelta(days=days))
        open_intents = [
            window.intent
            for window in found
            if window.intent and datetime.datetime.fromisoformat(window.start) <= now
        ]
        plans = (
            [ask(node, "POST", "/v1/plans", intent) for intent in open_intents] if propose else []
        )
    except QuillringError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_REFUSED)
    answer = {"windows": [window.to_json() for window in found], "plans": plans}
    click.echo(json.dumps(answer) if as_json else show_table(answer))
