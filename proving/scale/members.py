"""The members and the layout of a fleet of hollow nodes."""

import random
import time

import simpy

from proving.sim.network import SimNet
from quillring.nifty import Member

ZONES = 20


def hollow_members(size):
    """Yield the members: 53 in 1,100 (at least 6) are cores and stores, a third of them cores."""
    control_count = max(6, round(size * 53 / 1100))
    for number in range(size):
        role = "edge" if number >= control_count else "core" if number % 3 == 0 else "store"
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
    """Return a layout with a number of entries; each `number` gives a different layout."""
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


def packet_cpu_seconds(cached_result=[]):  # noqa: B006
    """Return the processor seconds that the simulated network needs per packet, measured once."""
    if not cached_result:
        env = simpy.Environment()
        net = SimNet(env, random.Random(1))
        start_time = time.process_time()
        for _ in range(20_000):
            net.carry(("a", 1), ("b", 1), b"", "datagram")
        env.run()
        cached_result.append((time.process_time() - start_time) / 20_000)
    return cached_result[0]
