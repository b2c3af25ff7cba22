"""Calls from a part's leader to the acceptors of its group, and the replies of a majority."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import Fenced, NoMajority, QuillringError
from quillring.quorum.messages import (
    AcceptRequest,
    CatchUpRequest,
    CommitRequest,
    ConfirmRequest,
    InstallChunkRequest,
    InstallRequest,
    PrepareRequest,
)
from quillring.quorum.parts import majority
from quillring.quorum.values import NO_BALLOT, Ballot, GroupMember, group_from_wire

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any, Protocol

    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine, WireMap
    from quillring.quorum.parts import Call
    from quillring.quorum.values import WireGroup

    class Request(Protocol):
        """A leader's request: a named tuple of part, ballot, identity, and fields of its type."""

        def to_wire(self) -> WireMap:
            """Return the request in its wire form."""

    RequestType = Callable[..., Request]

SERVICES: dict[RequestType, str] = {
    PrepareRequest: "quorum.prepare",
    AcceptRequest: "quorum.accept",
    CommitRequest: "quorum.commit",
    ConfirmRequest: "quorum.confirm",
    CatchUpRequest: "quorum.catch_up",
    InstallRequest: "quorum.install",
    InstallChunkRequest: "quorum.install_piece",
}
"""The acceptor service that handles each type of request."""


class QuorumCaller:
    """Calls the acceptors of one part's group under one ballot.

    `highest_seen_ballot_number` is the highest ballot number by which an acceptor fenced a call;
    the next election uses a higher one.
    """

    __slots__ = ("node", "part", "group", "ballot", "highest_seen_ballot_number")

    def __init__(
        self,
        node: Node,
        part: str,
        group: WireGroup,
        ballot: Ballot = NO_BALLOT,
        highest_seen_ballot_number: int = 0,
    ) -> None:
        self.node = node
        self.part = part
        self.group: tuple[GroupMember, ...] = group_from_wire(group)
        self.ballot = ballot
        self.highest_seen_ballot_number = highest_seen_ballot_number

    def advance_ballot(self, leader: str) -> None:
        """Switch to a ballot above every one that this core used or was fenced by."""
        number = max(self.highest_seen_ballot_number, self.ballot.number) + 1
        self.ballot = Ballot(number, leader)

    def adopt_group(self, wire_group: WireGroup) -> bool:
        """Replace the group by the one in the state, in wire form; return whether it changed."""
        if tuple(map(tuple, wire_group)) == self.group:
            return False
        self.group = group_from_wire(wire_group)
        return True

    def call_to(self, member: GroupMember, request_type: RequestType, **fields: Any) -> Call:
        """Return the call that sends a request to one store, which need not be a member yet.

        `fields` are the fields of the request other than part, ballot and identity.
        """
        request = request_type(self.part, self.ballot, member.identity, **fields)
        return member.name, SERVICES[request_type], request.to_wire()

    def calls(self, request_type: RequestType, **fields: Any) -> list[Call]:
        """Return the calls that send a request to each member of the group.

        The bodies differ only in the identity, so the other fields are converted to wire form once.
        """
        service = SERVICES[request_type]
        body = request_type(self.part, self.ballot, "", **fields).to_wire()
        return [
            (member.name, service, {**body, "identity": member.identity}) for member in self.group
        ]

    def call_majority(self, request_type: RequestType, **fields: Any) -> Coroutine:
        """Call the group; return {member name: reply} of the members that succeeded.

        Raises Fenced if a member replied that it promised a higher ballot, and NoMajority if fewer
        than a majority succeed within `bounds.call_timeout` seconds.
        """
        needed = majority(self.group)
        replies = yield from self.node.gather(
            self.calls(request_type, **fields), needed, self.node.bounds.call_timeout, True
        )
        higher_ballots = [r.detail["ballot"] for r in replies.values() if isinstance(r, Fenced)]
        if higher_ballots:
            highest_number = max(int(ballot[0]) for ballot in higher_ballots)
            self.highest_seen_ballot_number = max(self.highest_seen_ballot_number, highest_number)
            raise Fenced(part=self.part, ballot=max(higher_ballots))
        successful_replies = {n: r for n, r in replies.items() if not isinstance(r, QuillringError)}
        if len(successful_replies) < needed:
            errors = [r for r in replies.values() if isinstance(r, QuillringError)]
            raise NoMajority(part=self.part, heard=sorted(successful_replies)) from ExceptionGroup(
                f"stores of {self.part}", errors
            )
        return successful_replies
