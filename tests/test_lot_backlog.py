"""How the slots that lots take are shared between the parts: the lots due soonest come first."""

import random
from types import SimpleNamespace

import pytest

from quillring.kernel.errors import QuillringError
from quillring.lots.http_requests import api
from quillring.lots.http_requests.backlog import (
    REMOTE_LIFETIME,
    DueItems,
    SlotShare,
    first_items_by_part,
)
from quillring.lots.http_requests.concurrency_limits import rounding_offsets
from quillring.nifty import Graph
from tests.http_lot_replica import SERVICE
from tests.http_lot_stage import FORWARD, HttpLotStage, check_complete_results, submit_accepted


def names_in(stage, part, count, prefix):
    """Return names of lots that live in a part."""
    names = (f"{prefix}{number}" for number in range(10_000))
    return [name for name in names if stage.part(name) == part][:count]


def submit_later(stage, names, count):
    """Hand lots in at once, without waiting for the answers."""
    for name in names:
        items = stage.items(name, count)
        stage.start_on_node(
            stage.pick_running("edge"),
            lambda node, name=name, items=items: api.submit_lot(node, FORWARD, name, items, 4),
        )


def seconds_until_whole(stage, name, count):
    """Return how long it takes from now until every item of a lot has a result."""
    began = stage.env.now
    while True:
        answer, error = stage.read(name)
        assert error is None or isinstance(error, QuillringError)
        if error is None and answer["next"] == count:
            check_complete_results(stage, answer["results"], name, count)
            return stage.env.now - began
        stage.run(0.05)


@pytest.mark.parametrize("seed", range(3))
def test_a_lot_due_first_is_done_first_though_another_part_has_far_more_to_run(seed):
    with HttpLotStage(240 + seed, slots=8) as stage:
        own, other = stage.parts[seed % 2], stage.parts[1 - seed % 2]
        (first,) = names_in(stage, own, 1, "a")
        later = names_in(stage, other, 12, "b")
        submit_accepted(stage, first, 60)
        submit_later(stage, later, 60)
        alone, among_all = 60 / 18 * 0.35, 780 / 18 * 0.35
        assert seconds_until_whole(stage, first, 60) < alone * 2 < among_all / 3
        for name in later:
            check_complete_results(stage, stage.read_all(name, 60), name, 60)


def due(*rows):
    return [DueItems(due_at, items) for due_at, items in rows]


def test_items_due_soonest_come_first_over_all_parts():
    rows = {"a": due((20, 30), (25, 100)), "b": due((21, 12)), "c": due((30, 500))}
    assert first_items_by_part(rows, 10.0, 40) == {"a": 30, "b": 7.5, "c": 2.5}


def test_lots_past_hope_come_last_and_still_go_on():
    rows = {"a": due((10.5, 40)), "b": due((20, 60))}
    assert first_items_by_part(rows, 10.0, 32) == {"a": 2, "b": 30}


def test_a_part_that_alone_has_items_may_take_every_slot():
    assert first_items_by_part({"a": due((20, 5)), "b": []}, 10.0, 32) == {"a": 5, "b": 0}


@pytest.mark.parametrize("seed", range(20))
def test_portions_add_up_to_the_slots_and_the_last_items_of_a_part_have_theirs(seed):
    chance = random.Random(seed)
    replicas, slots = chance.randint(1, 12), chance.choice([2, 6, 24])
    count = replicas * slots
    names = [SimpleNamespace(name=f"i-{number}") for number in range(replicas)]
    counts = {f"part-{n}": chance.choice([1, 2, 7, 400]) for n in range(4)}
    rows = {part: due((chance.uniform(20, 30), items)) for part, items in counts.items()}
    items = first_items_by_part(rows, 10.0, count)
    total, rooms = sum(items.values()), {}
    for part in sorted(items):
        start = sum(items[name] for name in sorted(items) if name < part)
        share = SlotShare(start, start + items[part], total)
        rooms[part] = [share.room(slots, offset) for offset in rounding_offsets(names).values()]
    assert [sum(column) for column in zip(*rooms.values(), strict=True)] == [slots] * replicas
    if count >= total:
        assert all(sum(room) >= int(items[part]) for part, room in rooms.items())


def at_owner(stage):
    """Return the backlog at the owner of the first part, with nothing of its own."""
    table = stage.owner_of(stage.parts[0]).find("raw_demand")
    table.local, table.remote = {}, {}
    return table


def test_what_a_lost_core_told_takes_no_slots():
    with HttpLotStage(245) as stage:
        first, other = stage.parts
        table, victim = at_owner(stage), stage.owner_of(other).me.name
        table.local = {first: {SERVICE: due((table.node.now() + 8, 10))}}
        table.on_report({"parts": {other: {SERVICE: 90}}, "due": {}}, victim)
        assert table.slot_share(first, SERVICE, 18).ratio < 0.1
        table.node.find("nifty").graph = Graph(table.node.me.name, {})
        assert table.slot_share(first, SERVICE, 18).ratio == 1


def test_what_was_not_told_again_counts_no_more():
    with HttpLotStage(246) as stage:
        first, other = stage.parts
        table, victim = at_owner(stage), stage.owner_of(other).me.name
        table.local = {first: {SERVICE: due((table.node.now() + 8, 10))}}
        rows = {other: {SERVICE: [[1.5, 90]]}}
        table.on_report({"parts": {other: {SERVICE: 90}}, "due": rows}, victim)
        assert table.slot_share(first, SERVICE, 18).ratio < 0.1
        stage.run(table.node.bounds.read_timeout * REMOTE_LIFETIME + 0.01)
        assert table.slot_share(first, SERVICE, 18).ratio == 1


def test_the_former_version_reads_what_is_told_and_is_read():
    with HttpLotStage(247, slots=2) as stage:
        cores, told = stage.sim.up_nodes("core"), []
        for core in cores:
            core.handle("raw.demand", lambda body, origin: told.append(body["parts"]))
        submit_accepted(stage, "a", 40)
        stage.run(0.2)
        part = stage.part("a")
        assert any(0 < parts.get(part, {}).get(SERVICE, 0) <= 40 for parts in told)
        table = cores[0].find("raw_demand")
        table.on_report({"parts": {part: {SERVICE: 40}}}, cores[1].me.name)
        assert [row.items for row in table.remote[part].by_service[SERVICE]] == [40]
