"""Invariants that hold in every state, checked on the events that processes reported."""

from typing import NamedTuple

from proving.model import events
from proving.model.errors import BrokenInvariant
from quillring.quorum.commands import is_one_swap

ONE_VALUE = "at most one value is chosen at an index"
NEVER_LOST = "what was acknowledged is in every later owner's state"
FENCED_OUT = "an owner that lost its ballot acknowledges nothing"
ONE_CONFIRMED = "two operators on one version are never both confirmed"
FRESH_READ = "a fenced read is never older than what was acknowledged before it"
FRESH_PEEK = "a read from the stores is never older than what was acknowledged before it"
ONE_SWAP = "one entry lets one store join a group and one leave at most"
OWN_VOTE = "an emptied store never votes for its former self"
ONE_FOUNDING = "a fleet is founded once"
PHASE_ONE = "the very group that decides an entry promised its ballot before"
ALL = (
    ONE_VALUE,
    NEVER_LOST,
    FENCED_OUT,
    ONE_CONFIRMED,
    FRESH_READ,
    FRESH_PEEK,
    ONE_SWAP,
    OWN_VOTE,
    ONE_FOUNDING,
    PHASE_ONE,
)


class Committed(NamedTuple):
    """The committed state after `index` entries, as reported by some process."""

    index: int
    digest: str
    group: tuple


class OpenRead(NamedTuple):
    """A read in progress, with the index and version acknowledged before it started."""

    reader: str
    index: int
    version: int


class History(NamedTuple):
    """What an observer of the system has seen so far; part of the explored state.

    `acknowledged` has the last (ballot, index) acknowledged under each ballot, `confirmed` the
    (base version, operator) of each confirmed configuration change.
    """

    log: tuple = ()
    acknowledged: tuple = ()
    acknowledged_version: int = 0
    confirmed: frozenset = frozenset()
    terms: tuple = ()
    reads: tuple = ()
    fleets: frozenset = frozenset()

    def acknowledged_index(self):
        """Return the highest acknowledged index, or 0."""
        return max((index for _, index in self.acknowledged), default=0)

    def newest_group(self):
        """Return the group of the newest committed state, or None."""
        return self.log[-1].group if self.log else None


def invariant_error(invariant, **detail):
    """Return the error for a broken invariant."""
    return BrokenInvariant(invariant=invariant, **detail)


def record_event(history, event):
    """Return the history after an event; raise BrokenInvariant if the event is not allowed."""
    return CHECKS[type(event)](history, event)


def check_applied(history, event):
    """Compare a committed state with others at its index, and its group with adjacent ones."""
    for committed in history.log:
        if committed.index == event.index:
            if committed.digest != event.digest:
                raise invariant_error(ONE_VALUE, index=event.index)
            return history
    for committed in history.log:
        if abs(committed.index - event.index) == 1:
            check_groups(committed.group, event.group)
    log = tuple(sorted([*history.log, Committed(*event)]))
    return history._replace(log=log)


def check_groups(group, next_group):
    """Raise BrokenInvariant if one entry lets more than one store join or leave."""
    if not is_one_swap(group, next_group):
        raise invariant_error(ONE_SWAP, groups=[list(group), list(next_group)])


def check_established(history, event):
    """Check that a new owner has all that was acknowledged under lower ballots.

    Entries of higher ballots are not compared: an owner that learns late of its election may
    have lost its ballot to a higher one, and is fenced at its next step.
    """
    for ballot, index in history.acknowledged:
        if ballot < event.ballot and event.index < index:
            raise invariant_error(NEVER_LOST, index=event.index, acknowledged=index)
    return history._replace(terms=tuple(sorted({*history.terms, event})))


def check_acknowledged(history, event):
    """Check that the ballot is the newest one, or that all newer owners have the entry too.

    Also checks that no other operator's command on the same base version was confirmed.
    """
    for term in history.terms:
        if term.ballot > event.ballot and term.index < event.index:
            raise invariant_error(FENCED_OUT, ballot=event.ballot, newer=term.ballot)
    confirmed = history.confirmed
    if event.base_version is not None:
        for base_version, operator in confirmed:
            if base_version == event.base_version and operator != event.operator:
                raise invariant_error(ONE_CONFIRMED, operators=[operator, event.operator])
        confirmed |= {(event.base_version, event.operator)}
    others = [row for row in history.acknowledged if row[0] != event.ballot]
    return history._replace(
        acknowledged=tuple(sorted([*others, (event.ballot, event.index)])),
        acknowledged_version=max(history.acknowledged_version, event.version or 0),
        confirmed=confirmed,
    )


def record_read_start(history, event):
    """Record the index and the version that the result of the read must include."""
    others = [read for read in history.reads if read.reader != event.reader]
    open_read = OpenRead(event.reader, history.acknowledged_index(), history.acknowledged_version)
    return history._replace(reads=tuple(sorted([*others, open_read])))


def check_read_result(history, event):
    """Compare the result of a read with what was acknowledged when it started."""
    open_read = next((read for read in history.reads if read.reader == event.reader), None)
    if open_read is None:
        return history
    if event.version is not None and event.version < open_read.version:
        raise invariant_error(FRESH_PEEK, version=event.version, acknowledged=open_read.version)
    if event.digest is not None:
        indexes = [entry.index for entry in history.log if entry.digest == event.digest]
        if max(indexes, default=0) < open_read.index:
            raise invariant_error(FRESH_READ, indexes=indexes, acknowledged=open_read.index)
    return history._replace(reads=tuple(read for read in history.reads if read is not open_read))


def reject_former_identity(history, event):
    """Reject an answer that a store gave as the member that it was before it lost its disk."""
    raise invariant_error(OWN_VOTE, store=event.store, service=event.service)


def reject_missing_prepare(history, event):
    """Reject a proposal to a group that phase one did not cover.

    Such a group may hold entries accepted under lower ballots that the owner doesn't know.
    """
    raise invariant_error(PHASE_ONE, ballot=event.ballot, index=event.index)


def check_founded(history, event):
    """Check that all founders learned of the same fleet."""
    fleets = history.fleets | {event.fleet}
    if len(fleets) > 1:
        raise invariant_error(ONE_FOUNDING, fleets=sorted(fleets))
    return history._replace(fleets=fleets)


CHECKS = {
    events.Applied: check_applied,
    events.Established: check_established,
    events.Acknowledged: check_acknowledged,
    events.ReadStarted: record_read_start,
    events.ReadEnded: check_read_result,
    events.AnsweredAsFormerIdentity: reject_former_identity,
    events.Founded: check_founded,
    events.ProposedWithoutPrepare: reject_missing_prepare,
}
