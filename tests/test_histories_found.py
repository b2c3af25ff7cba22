"""Faults that recorded histories showed, each made small."""

from quillring.kernel.errors import Conflict
from quillring.lots import raw_front
from tests.raw_stage import FORWARD, RawStage

MOST_TOKENS = 400


def hand_in(stage, name, count):
    """Hand in a lot under one name; another count makes another lot."""
    items = stage.items("x", count)
    return stage.do(
        stage.up("edge"), lambda node: raw_front.accept_raw_lot(node, FORWARD, name, items)
    )


def test_a_lot_that_is_handed_in_again_is_acknowledged_after_another_of_its_name_was_refused():
    """Seed 1015: the loser's reservation stood in the way of the accepted lot's repeat."""
    with RawStage(7, most_tokens=MOST_TOKENS) as stage:
        first, error = hand_in(stage, "a", 3)
        assert error is None and first["items"] == 3
        stage.read_all("a")
        stage.run(2)
        _, error = hand_in(stage, "a", 4)
        assert isinstance(error, Conflict)
        again, error = hand_in(stage, "a", 3)
        assert error is None and again["items"] == 3
        _, error = hand_in(stage, "a", 4)
        assert isinstance(error, Conflict)


def test_a_lot_loses_only_against_one_that_was_accepted():
    """Seed 1018: a reservation whose lot never arrived told another lot of its name to lose."""
    with RawStage(8, most_tokens=MOST_TOKENS) as stage:
        for turn in range(1, 13):
            items = stage.items("x", 3)
            edge, other = stage.sim.up_nodes("edge")[:2]
            stage.begin(
                edge,
                lambda node, items=items, turn=turn: raw_front.accept_raw_lot(
                    node, FORWARD, f"a{turn}", items
                ),
            )
            stage.run(0.003 * turn)
            stage.sim.kill(edge.me.name)
            _, error = stage.do(
                other,
                lambda node, turn=turn: raw_front.accept_raw_lot(
                    node, FORWARD, f"a{turn}", stage.items("x", 4)
                ),
            )
            stage.run(1)
            if isinstance(error, Conflict):
                known, reading_error = stage.read(f"a{turn}", node=other)
                assert reading_error is None and known["items"] == 3, turn
            stage.sim.start(edge.me.name)
            stage.run(3)
