"""Drawing one day: entries of faults and planned work at chosen moments."""

from proving.drawn.kinds import CLOSINGS, CONTROL_FAULTS, FLAG_SHARE, PLANNED, REPLICA_FAULTS

FIRST_AT = 2.0
LAST_SHARE = 0.85
CLUSTER_SHARE = 0.5
CLUSTER_WIDTH_S = 2.0
CLOSING_SHARE = 0.6
MANY_CHANGES_SHARE = 0.15
MANY_CHANGES = 100
LOAD = (0.5, 0.9)


def draw_entry(chance, kind, at):
    """Return one entry of this kind at a time in seconds from the start of traffic."""
    entry = {"at": round(at, 2), "kind": kind.name}
    for field, (least, most) in kind.ranges.items():
        is_whole = isinstance(least, int) and isinstance(most, int)
        entry[field] = (
            chance.randint(least, most) if is_whole else round(chance.uniform(least, most), 2)
        )
    on = chance.choice(kind.on) if kind.on else ""
    if on:
        entry["on"] = on
    words = [chance.choice(kind.hows)]
    words += [flag for flag in kind.flags if chance.random() < FLAG_SHARE]
    how = " ".join(word for word in words if word)
    if how:
        entry["how"] = how
    return entry


def draw_times(chance, count, length):
    """Return moments of a day of some seconds; half of them stand close to another one."""
    times = [chance.uniform(FIRST_AT, length * LAST_SHARE) for _ in range(count)]
    for place in range(1, count):
        if chance.random() < CLUSTER_SHARE:
            near = times[place - 1] + chance.uniform(0, CLUSTER_WIDTH_S)
            times[place] = min(near, length * LAST_SHARE)
    return sorted(times)


def draw_day(chance, site, name, seed):
    """Return a day as the site file writes one, over the site's own traffic and goals."""
    length = site["length_s"]
    control = draw_times(chance, chance.randint(2, 5), length)
    others = draw_times(chance, chance.randint(1, 3), length)
    planned = draw_times(chance, chance.randint(2, 5), length)
    faults = [draw_entry(chance, chance.choice(CONTROL_FAULTS), at) for at in control]
    faults += [draw_entry(chance, chance.choice(REPLICA_FAULTS), at) for at in others]
    plan = [draw_entry(chance, chance.choice(PLANNED), at) for at in planned]
    if chance.random() < MANY_CHANGES_SHARE:
        gap = round((length - 2 * FIRST_AT) / MANY_CHANGES, 3)
        plan.append({"at": FIRST_AT, "kind": "config_race", "count": MANY_CHANGES, "gap_s": gap})
    model = site["day"][0]
    load = chance.uniform(*LOAD)
    day = {
        "name": name,
        "slot": "trouble",
        "seed": seed,
        "one": model["one"],
        "zero": model["zero"],
        "goal": {"floor": 0.2},
        "labels": [],
        "wall": model["wall"],
        "light": False,
        "plan": sorted(plan, key=lambda entry: entry["at"]),
        "faults": sorted(faults, key=lambda entry: entry["at"]),
        "traffic": [{**row, "per_s": round(row["per_s"] * load, 1)} for row in site["traffic"]],
    }
    if chance.random() < CLOSING_SHARE:
        closing = draw_entry(chance, chance.choice(CLOSINGS), 0)
        day["closing"] = {field: value for field, value in closing.items() if field != "at"}
    return day
