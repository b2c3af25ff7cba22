"""Commands and queries of the config part that change and read the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import Conflict, QuillringError
from quillring.quorum.commands import COMMANDS, QUERIES
from quillring.rollout.messages import ADOPT_CONFIGURATION, AdoptConfiguration, CurrentConfiguration
from quillring.rollout.schema import EMPTY_CONFIGURATION, find_faults, merge

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quillring.kernel.types import WireMap
    from quillring.rollout.schema import Fault

MAX_RECORDED_CHANGES = 64


class BadConfiguration(QuillringError):
    """The configuration is invalid and is not adopted; `faults` lists every reason.

    Final, therefore not retried: with the same base version it is always rejected, with any other
    one it is a Conflict.
    """

    kind = "bad_layout"
    status = 422
    is_final = True

    @classmethod
    def from_faults(cls, faults: Iterable[Fault]) -> BadConfiguration:
        """Return the error that lists these faults."""
        return cls(faults=[fault.to_wire() for fault in faults])


@COMMANDS.entry(ADOPT_CONFIGURATION)
def adopt_configuration(state: WireMap, command: WireMap) -> tuple[WireMap, WireMap]:
    """Adopt a complete or partial configuration that is based on the current version.

    Idempotent by the id of the change, for the last MAX_RECORDED_CHANGES changes. Raises Conflict
    for another base version or an id already used for another change, BadConfiguration for faults.
    """
    adoption = AdoptConfiguration.from_wire(command)
    change_id, digest = adoption.id, adoption.digest()
    changes, digests = state.get("changes", {}), state.get("change_digests", {})
    if change_id in changes:
        if digests.get(change_id, digest) != digest:
            raise Conflict(field="id", id=change_id, reason="another change bears this id")
        return state, {"version": changes[change_id], "repeated": True}
    if adoption.base_version != state["version"]:
        raise Conflict(
            winning_version=state["version"],
            base_version=adoption.base_version,
            winning_change=state.get("last_change"),
        )
    configuration = adoption.change
    if not adoption.is_complete:
        configuration = merge(state["layout"] or EMPTY_CONFIGURATION, adoption.change)
    faults = find_faults(configuration)
    if faults:
        raise BadConfiguration.from_faults(faults)
    version = state["version"] + 1
    recorded_changes = dict([*changes.items(), (change_id, version)][-MAX_RECORDED_CHANGES:])
    recorded_digests = {name: digests[name] for name in recorded_changes if name in digests}
    new_state = {
        **state,
        "layout": configuration,
        "version": version,
        "changes": recorded_changes,
        "change_digests": {**recorded_digests, change_id: digest},
        "last_change": change_id,
    }
    return new_state, {"version": version}


@QUERIES.entry("layout")
def show_configuration(state: WireMap, query: WireMap) -> WireMap:
    """Return the current configuration and the version of the state."""
    return CurrentConfiguration(state["version"], state["layout"]).to_wire()
