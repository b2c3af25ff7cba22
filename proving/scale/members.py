"""The members and configuration of a fleet of hollow nodes."""

import random
import time

import simpy

from proving.sim.network import SimNet
from quillring.nifty import Member

ZONES = 20


def hollow_members(size):
    """Yield the members of a fleet: 53 control machines of 1,100, of which a third are cores."""
    control = max(6, round(size * 53 / 1100))
    for number in range(size):
        role = "edge" if number >= control else "core" if number % 3 == 0 else "store"
        name = f"{role}-{number:04d}"
        yield Member(
            name,
            1,
            role,
            f"zone-{number % ZONES:02d}",
            f"10.1.{number // 250}.{number % 250 + 1}",
            7400,
            8400,
            f"{name}.0123456789ab" if role == "store" else "",
        )


def hollow_configuration(entries, number):
    """Return a layout with so many entries; each number gives another one."""
    return {
        "classes": {
            "chat": {
                "first_piece_ms": 1500 + number,
                "time_left_ms": 20_000,
                "urgency": 8,
                "share": 0.5,
                "queue": 64,
            }
        },
        "services": {
            f"words-{n}": {"kind": "model", "warm_up_ms": 4000, "stall_ms": 2000}
            for n in range(min(36, entries))
        },
        "entries": {
            f"entry-{n}": {
                "service": f"words-{n % 36}",
                "class": "chat",
                "prefix": f"You help the callers of tenant {n}. ",
            }
            for n in range(entries)
        },
        "domains": {f"zone-{n:02d}": {"emptied": False} for n in range(ZONES)},
    }


def carry_seconds(known=[]):  # noqa: B006
    """Return the processor time the simulated network itself takes to carry one packet."""
    if not known:
        env = simpy.Environment()
        net = SimNet(env, random.Random(1))
        start_time = time.process_time()
        for _ in range(20_000):
            net.carry(("a", 1), ("b", 1), b"", "datagram")
        env.run()
        known.append((time.process_time() - start_time) / 20_000)
    return known[0]
