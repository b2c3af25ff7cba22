"""Commands and queries of the config part that change and show the layout."""

import hashlib
import json

from quillring.kernel.errors import Conflict, QuillringError
from quillring.quorum.commands import COMMANDS, QUERIES
from quillring.rollout.schema import EMPTY, find_faults, merge

KEPT_CHANGES = 64


class BadConfiguration(QuillringError):
    """The layout was refused, with every reason; no node changes.

    Final: on the version it builds on it is always refused, and on any other it is a conflict.
    """

    kind = "bad_layout"
    status = 422
    is_final = True


@COMMANDS.entry("layout.adopt")
def adopt_configuration(state, command):
    """Adopt a whole or partial layout that was made against the current version."""
    changes, digests = state.get("changes", {}), state.get("change_digests", {})
    digest = digest_of_change(command)
    if command["id"] in changes:
        if digests.get(command["id"], digest) != digest:
            raise Conflict(field="id", id=command["id"], reason="another change bears this id")
        return state, {"version": changes[command["id"]], "repeated": True}
    if command["base_version"] != state["version"]:
        raise Conflict(
            winning_version=state["version"],
            base_version=command["base_version"],
            winning_change=state.get("last_change"),
        )
    current_configuration = state["layout"] or EMPTY
    configuration = (
        command["change"] if command["whole"] else merge(current_configuration, command["change"])
    )
    faults = find_faults(configuration)
    if faults:
        raise BadConfiguration(faults=faults)
    version = state["version"] + 1
    kept_changes = dict([*changes.items(), (command["id"], version)][-KEPT_CHANGES:])
    kept_digests = {name: digests[name] for name in kept_changes if name in digests}
    new_state = {
        **state,
        "layout": configuration,
        "version": version,
        "changes": kept_changes,
        "change_digests": {**kept_digests, command["id"]: digest},
        "last_change": command["id"],
    }
    return new_state, {"version": version}


def digest_of_change(command):
    """Return the digest of what a change says; the version it builds on doesn't count."""
    sent = [command["whole"], command["change"]]
    return hashlib.sha256(json.dumps(sent, sort_keys=True).encode()).hexdigest()[:24]


@QUERIES.entry("layout")
def show_configuration(state, query):
    """Return the layout and its version."""
    return {"version": state["version"], "layout": state["layout"]}
