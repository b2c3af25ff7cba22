"""How parts share the slots available to lots: items due soonest come first."""

import random
from types import SimpleNamespace

import pytest

from quillring.kernel.errors import QuillringError
from quillring.lots.http_requests import api
from quillring.lots.http_requests.backlog import (
    REPORT_LIFETIME_SHARE,
    DueItems,
    SlotShare,
    first_items_by_part,
)
from quillring.lots.http_requests.concurrency_limits import rounding_offsets
from quillring.nifty import Graph
from tests.http_lot_replica import SERVICE
from tests.http_lot_stage import FORWARD, HttpLotStage, check_complete_results, submit_accepted


def lot_names_in_part(stage, part, count, prefix):
    """Return names of lots that are stored in a part."""
    names = (f"{prefix}{number}" for number in range(10_000))
    return [name for name in names if stage.part(name) == part][:count]


def start_submissions(stage, names, count):
    """Start submitting lots concurrently, without waiting for the answers."""
    for name in names:
        items = stage.items(name, count)
        stage.start_on_node(
            stage.pick_running("edge"),
            lambda node, name=name, items=items: api.submit_lot(node, FORWARD, name, items, 4),
        )


def seconds_until_complete(stage, name, count):
    """Return the seconds from now until every item of a lot has a result."""
    start_time = stage.env.now
    while True:
        answer, error = stage.read(name)
        assert error is None or isinstance(error, QuillringError)
        if error is None and answer["next"] == count:
            check_complete_results(stage, answer["results"], name, count)
            return stage.env.now - start_time
        stage.run(0.05)


@pytest.mark.parametrize("seed", range(3))
def test_the_lot_due_first_finishes_first_despite_a_larger_backlog_in_another_part(seed):
    with HttpLotStage(240 + seed, slots=8) as stage:
        own_part, other_part = stage.parts[seed % 2], stage.parts[1 - seed % 2]
        (first,) = lot_names_in_part(stage, own_part, 1, "a")
        later = lot_names_in_part(stage, other_part, 12, "b")
        submit_accepted(stage, first, 60)
        start_submissions(stage, later, 60)
        seconds_alone, seconds_among_all = 60 / 18 * 0.35, 780 / 18 * 0.35
        assert seconds_until_complete(stage, first, 60) < seconds_alone * 2 < seconds_among_all / 3
        for name in later:
            check_complete_results(stage, stage.read_all(name, 60), name, 60)


def due_items(*rows):
    """Return DueItems for rows of (due time, number of items)."""
    return [DueItems(due_at, items) for due_at, items in rows]


def test_items_due_soonest_come_first_across_all_parts():
    rows = {
        "a": due_items((20, 30), (25, 100)),
        "b": due_items((21, 12)),
        "c": due_items((30, 500)),
    }
    assert first_items_by_part(rows, 10.0, 40) == {"a": 30, "b": 7.5, "c": 2.5}


def test_lots_that_cannot_meet_their_due_time_come_last_but_still_run():
    rows = {"a": due_items((10.5, 40)), "b": due_items((20, 60))}
    assert first_items_by_part(rows, 10.0, 32) == {"a": 2, "b": 30}


def test_the_only_part_with_items_may_use_every_slot():
    assert first_items_by_part({"a": due_items((20, 5)), "b": []}, 10.0, 32) == {"a": 5, "b": 0}


@pytest.mark.parametrize("seed", range(20))
def test_shares_add_up_to_all_slots_and_cover_every_item_if_slots_suffice(seed):
    rng = random.Random(seed)
    replicas, slots = rng.randint(1, 12), rng.choice([2, 6, 24])
    count = replicas * slots
    names = [SimpleNamespace(name=f"i-{number}") for number in range(replicas)]
    counts = {f"part-{n}": rng.choice([1, 2, 7, 400]) for n in range(4)}
    rows = {part: due_items((rng.uniform(20, 30), items)) for part, items in counts.items()}
    items = first_items_by_part(rows, 10.0, count)
    total, shares = sum(items.values()), {}
    for part in sorted(items):
        start = sum(items[name] for name in sorted(items) if name < part)
        share = SlotShare(start, start + items[part], total)
        shares[part] = [
            share.part_slots(slots, offset) for offset in rounding_offsets(names).values()
        ]
    assert [sum(column) for column in zip(*shares.values(), strict=True)] == [slots] * replicas
    if count >= total:
        assert all(sum(part_slots) >= int(items[part]) for part, part_slots in shares.items())


def empty_backlog_at_owner(stage):
    """Return the backlog table of the first part's owner, emptied."""
    table = stage.owner_of(stage.parts[0]).find("raw_demand")
    table.local, table.remote = {}, {}
    return table


def test_the_reported_backlog_of_an_unreachable_core_takes_no_slots():
    with HttpLotStage(245) as stage:
        own_part, other_part = stage.parts
        table, other_owner = empty_backlog_at_owner(stage), stage.owner_of(other_part).me.name
        table.local = {own_part: {SERVICE: due_items((table.node.now() + 8, 10))}}
        table.on_report({"parts": {other_part: {SERVICE: 90}}, "due": {}}, other_owner)
        assert table.slot_share(own_part, SERVICE, 18).ratio < 0.1
        table.node.find("nifty").graph = Graph(table.node.me.name, {})
        assert table.slot_share(own_part, SERVICE, 18).ratio == 1


def test_a_reported_backlog_expires_unless_it_is_repeated():
    with HttpLotStage(246) as stage:
        own_part, other_part = stage.parts
        table, other_owner = empty_backlog_at_owner(stage), stage.owner_of(other_part).me.name
        table.local = {own_part: {SERVICE: due_items((table.node.now() + 8, 10))}}
        rows = {other_part: {SERVICE: [[1.5, 90]]}}
        table.on_report({"parts": {other_part: {SERVICE: 90}}, "due": rows}, other_owner)
        assert table.slot_share(own_part, SERVICE, 18).ratio < 0.1
        stage.run(table.node.bounds.read_timeout * REPORT_LIFETIME_SHARE + 0.01)
        assert table.slot_share(own_part, SERVICE, 18).ratio == 1


def test_backlog_reports_are_compatible_with_the_previous_version_both_ways():
    with HttpLotStage(247, slots=2) as stage:
        cores, reports = stage.sim.up_nodes("core"), []
        for core in cores:
            core.handle("raw.demand", lambda body, origin: reports.append(body["parts"]))
        submit_accepted(stage, "a", 40)
        stage.run(0.2)
        part = stage.part("a")
        assert any(0 < parts.get(part, {}).get(SERVICE, 0) <= 40 for parts in reports)
        table = cores[0].find("raw_demand")
        table.on_report({"parts": {part: {SERVICE: 40}}}, cores[1].me.name)
        assert [row.items for row in table.remote[part].by_service[SERVICE]] == [40]
