"""What must hold in every state: rules over the events that processes told so far."""

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
    """The state after `index` entries, as some process held it."""

    index: int
    digest: str
    group: tuple


class OpenRead(NamedTuple):
    """A read under way, and what was acknowledged before it began."""

    reader: str
    index: int
    version: int


class Memory(NamedTuple):
    """What an observer of the whole system remembers; a part of the explored state."""

    log: tuple = ()
    acked: tuple = ()
    acked_version: int = 0
    confirmed: frozenset = frozenset()
    terms: tuple = ()
    reads: tuple = ()
    fleets: frozenset = frozenset()

    def acked_index(self):
        """Return the highest index that was acknowledged."""
        return max((index for _, index in self.acked), default=0)

    def newest_group(self):
        """Return the group of the newest committed state, or None."""
        return self.log[-1].group if self.log else None


def broken(rule, **detail):
    """Return the error that tells of a broken rule."""
    return BrokenInvariant(invariant=rule, **detail)


def note(memory, event):
    """Return the memory after an event; BrokenInvariant when it may not happen."""
    return RULES[type(event)](memory, event)


def note_applied(memory, event):
    """Compare a committed state with what others hold at the index; look at the groups beside."""
    for known in memory.log:
        if known.index == event.index:
            if known.digest != event.digest:
                raise broken(ONE_VALUE, index=event.index)
            return memory
    for known in memory.log:
        if abs(known.index - event.index) == 1:
            check_groups(known.group, event.group)
    log = tuple(sorted([*memory.log, Committed(*event)]))
    return memory._replace(log=log)


def check_groups(group, next_group):
    """Raise BrokenInvariant when more than one store joined or left in one entry."""
    if not is_one_swap(group, next_group):
        raise broken(ONE_SWAP, groups=[list(group), list(next_group)])


def note_established(memory, event):
    """A new owner has to hold all that was acknowledged under lower ballots.

    One that only learns late of having won may find that a higher ballot was won since; it is
    fenced at its next step.
    """
    for ballot, index in memory.acked:
        if ballot < event.ballot and event.index < index:
            raise broken(NEVER_LOST, index=event.index, acknowledged=index)
    return memory._replace(terms=tuple(sorted({*memory.terms, event})))


def note_acknowledged(memory, event):
    """A confirmation needs the newest ballot, or an entry that newer owners hold as well."""
    for term in memory.terms:
        if term.ballot > event.ballot and term.index < event.index:
            raise broken(FENCED_OUT, ballot=event.ballot, newer=term.ballot)
    confirmed = memory.confirmed
    if event.base_version is not None:
        for base_version, operator in confirmed:
            if base_version == event.base_version and operator != event.operator:
                raise broken(ONE_CONFIRMED, operators=[operator, event.operator])
        confirmed |= {(event.base_version, event.operator)}
    others = [known for known in memory.acked if known[0] != event.ballot]
    return memory._replace(
        acked=tuple(sorted([*others, (event.ballot, event.index)])),
        acked_version=max(memory.acked_version, event.version or 0),
        confirmed=confirmed,
    )


def note_read_began(memory, event):
    """Remember what the read must not be older than."""
    others = [read for read in memory.reads if read.reader != event.reader]
    begun = OpenRead(event.reader, memory.acked_index(), memory.acked_version)
    return memory._replace(reads=tuple(sorted([*others, begun])))


def note_read_ended(memory, event):
    """Compare an answer with what was acknowledged when its read began."""
    begun = next((read for read in memory.reads if read.reader == event.reader), None)
    if begun is None:
        return memory
    if event.version is not None and event.version < begun.version:
        raise broken(FRESH_PEEK, version=event.version, acknowledged=begun.version)
    if event.digest is not None:
        indexes = [known.index for known in memory.log if known.digest == event.digest]
        if max(indexes, default=0) < begun.index:
            raise broken(FRESH_READ, indexes=indexes, acknowledged=begun.index)
    return memory._replace(reads=tuple(read for read in memory.reads if read is not begun))


def note_wrong_vote(memory, event):
    """A store answered for the member that it was before its disk was lost."""
    raise broken(OWN_VOTE, store=event.store, service=event.service)


def note_unasked(memory, event):
    """Every group has to be asked for what lower ballots may have left there."""
    raise broken(PHASE_ONE, ballot=event.ballot, index=event.index)


def note_founded(memory, event):
    """All founders have to be told of the same fleet."""
    fleets = memory.fleets | {event.fleet}
    if len(fleets) > 1:
        raise broken(ONE_FOUNDING, fleets=sorted(fleets))
    return memory._replace(fleets=fleets)


RULES = {
    events.Applied: note_applied,
    events.Established: note_established,
    events.Acknowledged: note_acknowledged,
    events.ReadBegan: note_read_began,
    events.ReadEnded: note_read_ended,
    events.WrongVote: note_wrong_vote,
    events.Founded: note_founded,
    events.ProposedUnasked: note_unasked,
}
