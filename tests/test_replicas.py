from quillring.classes import Meter
from quillring.edge import Replicas
from quillring.gossip import Gossip
from tests.test_nifty import node


def beat(sequence, state="ready", incarnation=5):
    return {
        "name": "words-1", "service": "words", "domain": "north", "address": "127.0.0.1:9",
        "slots": 4, "state": state, "incarnation": incarnation, "sequence": sequence,
    }


class NoLayout:
    def is_emptied(self, domain):
        return False


def replicas():
    made, _, world = node("a")
    made.offer("gossip", Gossip(made))
    made.offer("layout", NoLayout())
    return made.offer("replicas", Replicas(made)), world


def test_old_news_of_a_replica_does_not_make_it_look_alive():
    table, world = replicas()
    table.on_beat(beat(7))
    assert table.working("words") == []
    table.on_beat(beat(8))
    assert [r.name for r in table.working("words")] == ["words-1"]
    world.time += 1.6
    assert table.working("words") == []


def test_a_leaving_replica_does_not_come_back_under_the_same_start():
    table, world = replicas()
    for sequence, state in ((1, "ready"), (2, "leaving"), (3, "ready")):
        table.on_beat(beat(sequence, state))
    assert table.working("words") == []
    table.on_beat(beat(1, "cold", 6))
    assert [r.state for r in table.working("words")] == ["cold"]


def test_a_beat_out_of_order_changes_nothing():
    table, world = replicas()
    for sequence in (1, 9):
        table.on_beat(beat(sequence))
    world.time = 2.0
    table.on_beat(beat(5))
    assert table.working("words") == []


def test_the_meter_counts_by_class_and_forgets_after_a_quarter_hour():
    made, _, world = node("a")
    meter = Meter(made)
    for firstAt, firstEnd in ((1, 2), (2, 2), (3, 2), (None, 2)):
        meter.note("hint", firstAt, firstEnd)
    world.time = 14 * 60
    meter.note("seat", 1, 2)
    row = {"class": "hint", "kept": 2, "late": 1, "unserved": 1, "share_kept": 0.5}
    assert meter.rows()[0] == row
    world.time = 16 * 60
    assert [row["class"] for row in meter.rows()] == ["seat"]
