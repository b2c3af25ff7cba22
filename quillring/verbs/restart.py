"""The rolling restart: one node at a time, each whole again before the next; it starts nothing."""

import json
import sys
import time

import click
import gevent

from quillring.kernel.errors import QuillringError
from quillring.verbs.cli import REFUSED_FAULT, main, node_options
from quillring.verbs.client import ask

ROLES = ("store", "core", "edge")
POLL_SECONDS = 0.25


class NotBack(QuillringError):
    """A node was not whole again in time; the restart stopped there."""

    kind = "not_back"


def http_of(member):
    """Return the HTTP address of a member."""
    return f"{member['host']}:{member['http_port']}"


def is_back(member):
    """Tell whether the node runs under a new start and is ready."""
    alive = ask(http_of(member), "GET", "/v1/alive")
    return (
        alive["incarnation"] != member["incarnation"]
        and ask(http_of(member), "GET", "/v1/ready")["ready"]
    )


def is_fleet_whole(members, names):
    """Tell whether every named node is ready and every part whole."""
    others = [member for member in members if member["name"] in names]
    return ask(http_of(others[0]), "GET", "/v1/whole")["is_whole"] and all(
        ask(http_of(member), "GET", "/v1/ready")["ready"] for member in others
    )


def wait_until(name, what, is_done, seconds):
    """Wait until a condition holds; what a node can't answer yet counts as not yet."""
    end_time, last_error = time.monotonic() + seconds, None
    while time.monotonic() < end_time:
        try:
            if is_done():
                return
        except QuillringError as error:
            last_error = error.kind
        gevent.sleep(POLL_SECONDS)
    raise NotBack(name=name, waited_for=what, trouble=last_error)


def rolling_restart(members, roles, names, seconds, tell):
    """Drain the chosen members one after another; the platform starts each of them again."""
    chosen = sorted(
        (m for m in members if m["role"] in roles and (not names or m["name"] in names)),
        key=lambda m: (ROLES.index(m["role"]), m["name"]),
    )
    everyone = {member["name"] for member in members}
    for member in chosen:
        name, others = member["name"], everyone - {member["name"]}
        wait_until(
            name, "a whole fleet before", lambda o=others: is_fleet_whole(members, o), seconds
        )
        ask(http_of(member), "POST", "/v1/drain", {})
        wait_until(name, "its new start", lambda m=member: is_back(m), seconds)
        wait_until(name, "a whole fleet after", lambda: is_fleet_whole(members, everyone), seconds)
        tell(name)
    return [member["name"] for member in chosen]


@main.command()
@node_options
@click.option("--role", "roles", multiple=True, type=click.Choice(ROLES), help="Only this role.")
@click.option("--name", "names", multiple=True, help="Only this node.")
@click.option("--patience", default=120.0, show_default=True, help="Seconds to wait for a node.")
def restart(node, as_json, roles, names, patience):
    """Restart nodes one at a time; the platform must start each ended process again."""
    done = []
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
        sys.exit(REFUSED_FAULT)
    click.echo(json.dumps({"restarted": done}) if as_json else "\n".join(done))
