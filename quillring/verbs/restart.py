"""Rolling restart: drains one node at a time, and waits until the fleet is complete again."""

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
from quillring.verbs.client import send_request

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

ROLES = ("store", "core", "edge")
POLL_INTERVAL_SECONDS = 0.25


class RestartTimedOut(QuillringError):
    """The fleet was not complete again in time; the rolling restart was aborted."""

    kind = "not_back"


def http_address(member: dict[str, Any]) -> str:
    """Return the HTTP address of a member."""
    return f"{member['host']}:{member['http_port']}"


def has_restarted(member: dict[str, Any]) -> bool:
    """Return whether the node runs under a new incarnation and is ready."""
    alive = send_request(http_address(member), "GET", "/v1/alive")
    if alive["incarnation"] == member["incarnation"]:
        return False
    return bool(send_request(http_address(member), "GET", "/v1/ready")["ready"])


def is_fleet_complete(members: Sequence[dict[str, Any]], names: Collection[str]) -> bool:
    """Return whether every named node is ready and every part is complete."""
    named_members = [member for member in members if member["name"] in names]
    return send_request(http_address(named_members[0]), "GET", "/v1/whole")["is_whole"] and all(
        send_request(http_address(member), "GET", "/v1/ready")["ready"] for member in named_members
    )


def wait_until(
    name: str, condition_name: str, is_satisfied: Callable[[], bool], timeout_seconds: float
) -> None:
    """Poll until a condition is true; errors count as false. Raise RestartTimedOut on timeout."""
    deadline = time.monotonic() + timeout_seconds
    last_error: str | None = None
    while time.monotonic() < deadline:
        try:
            if is_satisfied():
                return
        except QuillringError as error:
            last_error = error.kind
        gevent.sleep(POLL_INTERVAL_SECONDS)
    raise RestartTimedOut(name=name, waited_for=condition_name, trouble=last_error)


def rolling_restart(
    members: Sequence[dict[str, Any]],
    roles: Collection[str],
    names: Collection[str],
    timeout_seconds: float,
    report_restarted: Callable[[str], None],
) -> list[str]:
    """Restart members one after another by draining them, and return their names.

    Selects the members whose role is in `roles` and, unless `names` is empty, whose name is in it.
    The platform must start each drained process again. Each wait lasts at most `timeout_seconds`.

    Raises
    ------
    RestartTimedOut
        The fleet was not complete, or a member was not restarted, in time.
    """
    selected = sorted(
        (m for m in members if m["role"] in roles and (not names or m["name"] in names)),
        key=lambda m: (ROLES.index(m["role"]), m["name"]),
    )
    all_names = {member["name"] for member in members}
    for member in selected:
        name, others = member["name"], all_names - {member["name"]}
        wait_until(
            name,
            "a whole fleet before",
            partial(is_fleet_complete, members, others),
            timeout_seconds,
        )
        send_request(http_address(member), "POST", "/v1/drain", {})
        wait_until(name, "its new start", partial(has_restarted, member), timeout_seconds)
        wait_until(
            name,
            "a whole fleet after",
            partial(is_fleet_complete, members, all_names),
            timeout_seconds,
        )
        report_restarted(name)
    return [member["name"] for member in selected]


@main.command()
@node_options
@click.option(
    "--role",
    "roles",
    multiple=True,
    type=click.Choice(ROLES),
    help="Restart only this role; repeatable.",
)
@click.option("--name", "names", multiple=True, help="Restart only this node; repeatable.")
@click.option(
    "--patience", default=120.0, show_default=True, help="Longest wait for each step, in seconds."
)
def restart(
    node: str, as_json: bool, roles: Collection[str], names: Collection[str], patience: float
) -> None:
    """Restart nodes one at a time; the platform must start each drained process again."""
    done: list[str] = []
    try:
        members = send_request(node, "GET", "/v1/members")["members"]
        rolling_restart(members, roles or ROLES, names, patience, done.append)
    except QuillringError as error:
        click.echo(
            json.dumps({**error.to_json(), "restarted": done})
            if as_json
            else f"{error}; already restarted: {', '.join(done) or 'none'}",
            err=True,
        )
        sys.exit(EXIT_REFUSED)
    click.echo(json.dumps({"restarted": done}) if as_json else "\n".join(done))
