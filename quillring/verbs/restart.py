"""Rolling restart: drain one node at a time, and wait until the fleet is complete again."""

from __future__ import annotations

import json
import sys
import time
from functools import partial
from typing import TYPE_CHECKING, Any

import click
import gevent

from quillring.kernel.errors import QuillringError
from quillring.verbs.cli import EXIT_REFUSED, main, node_options
from quillring.verbs.client import ask

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

ROLES = ("store", "core", "edge")
POLL_SECONDS = 0.25


class NotBack(QuillringError):
    """The fleet was not complete in time; the rolling restart stopped there."""

    kind = "not_back"


def http_address(member: dict[str, Any]) -> str:
    """Return the HTTP address of a member."""
    return f"{member['host']}:{member['http_port']}"


def is_back(member: dict[str, Any]) -> bool:
    """Return whether the node has a new incarnation and is ready."""
    alive = ask(http_address(member), "GET", "/v1/alive")
    if alive["incarnation"] == member["incarnation"]:
        return False
    return bool(ask(http_address(member), "GET", "/v1/ready")["ready"])


def is_fleet_whole(members: Sequence[dict[str, Any]], names: Collection[str]) -> bool:
    """Return whether every named node is ready and every part complete."""
    others = [member for member in members if member["name"] in names]
    return ask(http_address(others[0]), "GET", "/v1/whole")["is_whole"] and all(
        ask(http_address(member), "GET", "/v1/ready")["ready"] for member in others
    )


def wait_until(name: str, what: str, is_done: Callable[[], bool], seconds: float) -> None:
    """Poll until a condition holds, errors counting as not yet; raise NotBack after `seconds`."""
    end_time = time.monotonic() + seconds
    last_error: str | None = None
    while time.monotonic() < end_time:
        try:
            if is_done():
                return
        except QuillringError as error:
            last_error = error.kind
        gevent.sleep(POLL_SECONDS)
    raise NotBack(name=name, waited_for=what, trouble=last_error)


def rolling_restart(
    members: Sequence[dict[str, Any]],
    roles: Collection[str],
    names: Collection[str],
    seconds: float,
    tell: Callable[[str], None],
) -> list[str]:
    """Drain the chosen members one after another, and return their names.

    The platform has to start each process again. Each wait is bounded by `seconds`.

    Raises
    ------
    NotBack
        The fleet was not complete, or a member not restarted, in time.
    """
    chosen = sorted(
        (m for m in members if m["role"] in roles and (not names or m["name"] in names)),
        key=lambda m: (ROLES.index(m["role"]), m["name"]),
    )
    everyone = {member["name"] for member in members}
    for member in chosen:
        name, others = member["name"], everyone - {member["name"]}
        wait_until(name, "a whole fleet before", partial(is_fleet_whole, members, others), seconds)
        ask(http_address(member), "POST", "/v1/drain", {})
        wait_until(name, "its new start", partial(is_back, member), seconds)
        wait_until(name, "a whole fleet after", partial(is_fleet_whole, members, everyone), seconds)
        tell(name)
    return [member["name"] for member in chosen]


@main.command()
@node_options
@click.option("--role", "roles", multiple=True, type=click.Choice(ROLES), help="Only this role.")
@click.option("--name", "names", multiple=True, help="Only this node.")
@click.option("--patience", default=120.0, show_default=True, help="Seconds to wait for a node.")
def restart(
    node: str, as_json: bool, roles: Collection[str], names: Collection[str], patience: float
) -> None:
    """Restart nodes one at a time; the platform must start each ended process again."""
    done: list[str] = []
    try:
        members = ask(node, "GET", "/v1/members")["members"]
        rolling_restart(members, roles or ROLES, names, patience, done.append)
    except QuillringError as error:
        click.echo(
            json.dumps({**error.to_json(), "restarted": done})
            if as_json
            else f"{error}; restarted before: {', '.join(done) or 'none'}",
            err=True,
        )
        sys.exit(EXIT_REFUSED)
    click.echo(json.dumps({"restarted": done}) if as_json else "\n".join(done))
