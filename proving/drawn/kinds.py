"""The kinds of faults and planned work in a drawn day, with the ranges of their fields."""

from typing import NamedTuple

FLAG_SHARE = 0.4


class Kind(NamedTuple):
    """One kind of entry.

    `ranges` maps each numeric field to (lowest, highest), which is drawn as an integer if both are
    integers. One of `variants` is drawn, and each of `flags` may be added to it. `machine_classes`
    are the classes of machines that the entry may affect; an empty one leaves the field out.
    """

    name: str
    ranges: dict = {}
    variants: tuple = ("",)
    flags: tuple = ()
    machine_classes: tuple = ()


RETURN_FLAGS = ("meet", "race", "hard", "drain")

CONTROL_FAULTS = (
    Kind(
        "core_cut",
        {"count": (1, 1), "for_s": (2.0, 20.0)},
        ("", "leader", "one_way", "leader one_way", "reset", "refuse", "both", "reader"),
        ("race", "meet", "hard"),
        ("", "store"),
    ),
    Kind(
        "node_kill",
        {"count": (1, 1), "for_s": (0.5, 6.0)},
        ("", "power", "leader", "leader power", "reader", "seed"),
        RETURN_FLAGS,
        ("core", "store"),
    ),
    Kind(
        "node_freeze",
        {"count": (1, 1), "for_s": (1.0, 12.0)},
        ("", "leader"),
        RETURN_FLAGS,
        ("core", "store"),
    ),
    Kind(
        "after_ack_kill",
        {"count": (1, 1), "for_s": (1.0, 4.0)},
        ("", "kill", "timed", "taken"),
        (),
        ("", "store"),
    ),
    Kind(
        "after_ack_wipe",
        {"count": (1, 1), "for_s": (1.0, 4.0)},
        ("", "timed", "taken"),
        (),
        ("", "store"),
    ),
    Kind("replace_core", {"x": (1.0, 3.0)}, ("", "planned"), (), ("", "store")),
    Kind(
        "node_slow",
        {"count": (1, 1), "x": (3.0, 8.0), "for_s": (2.0, 8.0)},
        ("",),
        (),
        ("core", "store"),
    ),
    Kind("disk_slow", {"count": (1, 1), "x": (5.0, 30.0), "for_s": (2.0, 8.0)}),
    Kind("disk_stall", {"count": (1, 1), "for_s": (1.0, 8.0)}),
    Kind("disk_full", {"count": (1, 1), "for_s": (2.0, 8.0)}),
    Kind(
        "clock_step",
        {"share": (0.2, 0.6), "x": (1000, 60000), "for_s": (2.0, 10.0)},
        ("back", "ahead"),
    ),
    Kind(
        "herd_kill",
        {"share": (0.3, 1.0), "for_s": (0.5, 3.0)},
        ("", "power", "taken"),
        (),
        ("core", "store", "front"),
    ),
    Kind("ack_lost", {"share": (0.5, 1.0), "x": (0.3, 0.9), "for_s": (3.0, 12.0)}),
    Kind("reset_conns", {"share": (0.2, 1.0), "x": (0.3, 1.0)}),
    Kind("seed_turnover"),
    Kind("zone_loss", {"for_s": (1.0, 6.0)}),
    Kind("zone_cut", {"for_s": (2.0, 15.0)}),
    Kind("node_cut", {"share": (0.05, 0.3), "for_s": (2.0, 10.0)}, ("", "servers")),
    Kind("hup", {"share": (0.2, 1.0), "gap_s": (0.5, 2.0)}),
)
REPLICA_FAULTS = (
    Kind("srv_crash", {"share": (0.1, 0.3), "for_s": (2.0, 6.0)}, ("", "dark", "gone")),
    Kind("srv_slow", {"share": (0.1, 0.3), "x": (2.0, 6.0), "for_s": (2.0, 6.0)}),
    Kind(
        "srv_grey",
        {"share": (0.1, 0.2), "x": (0.2, 0.6), "for_s": (2.0, 6.0)},
        ("errors", "shed", "busy", "hang", "reset", "mute"),
    ),
    Kind("replace_with_reuse", {"share": (0.1, 0.2)}, ("", "drain", "dark")),
    Kind(
        "answer_lost", {"share": (0.4, 0.8), "x": (0.02, 0.06), "for_s": (3.0, 8.0)}, ("", "reset")
    ),
    Kind(
        "garble",
        {"share": (0.4, 0.8), "x": (0.02, 0.05), "for_s": (3.0, 8.0)},
        ("", "extra", "extra late"),
    ),
    Kind("cold_return", {"for_s": (1.0, 4.0)}, ("", "dark")),
    Kind("burst", {"x": (1.2, 1.6), "for_s": (2.0, 4.0)}),
)
PLANNED = (
    Kind("config_change", {}, ("route", "weights", "timeout", "idle")),
    Kind("config_race", {"count": (1, 4), "gap_s": (0.5, 2.0)}),
    Kind("bad_config", {"count": (1, 3), "gap_s": (0.5, 1.5)}),
    Kind("evacuate", {"for_s": (2.0, 8.0)}, ("", "warm")),
    Kind("retire", {"for_s": (8.0, 14.0)}, ("", "wipe")),
    Kind("add_nodes", {"count": (1, 1)}, ("",), (), ("store",)),
    Kind("roll_term", {"share": (0.3, 1.0), "x": (1, 1), "gap_s": (0.8, 2.0)}, ("", "busy")),
    Kind("release", {"share": (0.2, 0.5), "x": (1, 1), "gap_s": (0.7, 1.5)}),
    Kind("scale_out", {"share": (0.2, 0.4), "gap_s": (1.0, 3.0)}),
    Kind("scale_in", {"share": (0.1, 0.2)}, ("", "spot")),
)
CLOSINGS = (
    Kind("power_off_all", {"down_s": (0.5, 1.8)}, ("all", "all timed", "all taken")),
    Kind("kill_all", {"down_s": (0.5, 1.8)}, ("", "timed", "taken")),
    Kind("wipe_after_ack", {"down_s": (0.5, 1.8)}, ("", "all", "all timed", "all taken")),
)
