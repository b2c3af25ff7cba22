"""Draws one day: faults and planned work at random times."""

from proving.drawn.kinds import CLOSINGS, CONTROL_FAULTS, FLAG_SHARE, PLANNED, REPLICA_FAULTS

EARLIEST_TIME_SECONDS = 2.0
LATEST_TIME_SHARE = 0.85
CLUSTER_SHARE = 0.5
CLUSTER_WIDTH_SECONDS = 2.0
CLOSING_FAULT_SHARE = 0.6
MANY_CHANGES_SHARE = 0.15
MANY_CHANGES_COUNT = 100
LOAD_RANGE = (0.5, 0.9)


def draw_entry(rng, kind, at):
    """Return a random entry of a kind at a time in seconds since the start of traffic."""
    entry = {"at": round(at, 2), "kind": kind.name}
    for field, (low, high) in kind.ranges.items():
        is_integer = isinstance(low, int) and isinstance(high, int)
        entry[field] = rng.randint(low, high) if is_integer else round(rng.uniform(low, high), 2)
    machine_class = rng.choice(kind.machine_classes) if kind.machine_classes else ""
    if machine_class:
        entry["on"] = machine_class
    modifiers = [rng.choice(kind.variants)]
    modifiers += [flag for flag in kind.flags if rng.random() < FLAG_SHARE]
    how = " ".join(modifier for modifier in modifiers if modifier)
    if how:
        entry["how"] = how
    return entry


def draw_times(rng, count, length):
    """Return sorted times in a day of `length` seconds, about half of them close to another one."""
    times = [rng.uniform(EARLIEST_TIME_SECONDS, length * LATEST_TIME_SHARE) for _ in range(count)]
    for index in range(1, count):
        if rng.random() < CLUSTER_SHARE:
            near_time = times[index - 1] + rng.uniform(0, CLUSTER_WIDTH_SECONDS)
            times[index] = min(near_time, length * LATEST_TIME_SHARE)
    return sorted(times)


def draw_day(rng, site, name, seed):
    """Return a day in the format of the site file, with the site's traffic at a random load."""
    length = site["length_s"]
    control_fault_times = draw_times(rng, rng.randint(2, 5), length)
    replica_fault_times = draw_times(rng, rng.randint(1, 3), length)
    planned_times = draw_times(rng, rng.randint(2, 5), length)
    faults = [draw_entry(rng, rng.choice(CONTROL_FAULTS), at) for at in control_fault_times]
    faults += [draw_entry(rng, rng.choice(REPLICA_FAULTS), at) for at in replica_fault_times]
    plan = [draw_entry(rng, rng.choice(PLANNED), at) for at in planned_times]
    if rng.random() < MANY_CHANGES_SHARE:
        gap = round((length - 2 * EARLIEST_TIME_SECONDS) / MANY_CHANGES_COUNT, 3)
        plan.append(
            {
                "at": EARLIEST_TIME_SECONDS,
                "kind": "config_race",
                "count": MANY_CHANGES_COUNT,
                "gap_s": gap,
            }
        )
    template = site["day"][0]
    load = rng.uniform(*LOAD_RANGE)
    day = {
        "name": name,
        "slot": "trouble",
        "seed": seed,
        "one": template["one"],
        "zero": template["zero"],
        "goal": {"floor": 0.2},
        "labels": [],
        "wall": template["wall"],
        "light": False,
        "plan": sorted(plan, key=lambda entry: entry["at"]),
        "faults": sorted(faults, key=lambda entry: entry["at"]),
        "traffic": [{**row, "per_s": round(row["per_s"] * load, 1)} for row in site["traffic"]],
    }
    if rng.random() < CLOSING_FAULT_SHARE:
        closing = draw_entry(rng, rng.choice(CLOSINGS), 0)
        day["closing"] = {field: value for field, value in closing.items() if field != "at"}
    return day
