"""Who may use how much of a service's room: own share first, idle room lent by urgency."""

import math


def divide(room, promises, demands):
    """Return {class: room it may use}.

    `promises` is {class: {share, urgency}}, `demands` {class: inquiries running or waiting}.
    A class gets what it asks for up to its share; what others leave idle is lent to the classes
    that ask for more, the urgent first.
    """
    share_sum = sum(promises[name]["share"] for name in demands) or 1
    own_rooms = {name: promises[name]["share"] / share_sum * room for name in demands}
    granted = {name: min(demands[name], math.floor(own_rooms[name])) for name in demands}
    idle = room - sum(granted.values())
    for name in sorted(demands, key=lambda n: (-promises[n]["urgency"], n)):
        lent = min(idle, demands[name] - granted[name])
        granted[name] += lent
        idle -= lent
    return granted


def split(amount, demands):
    """Return {taker: part of the amount} by their demands, whole numbers that add up."""
    total = sum(demands.values())
    if total <= amount:
        return dict(demands)
    exact = {name: amount * demand / total for name, demand in demands.items()}
    parts = {name: math.floor(value) for name, value in exact.items()}
    by_remainder = sorted(exact, key=lambda n: (parts[n] - exact[n], n))
    for name in by_remainder[: amount - sum(parts.values())]:
        parts[name] += 1
    return parts


def ramp(slots, age, warm_up):
    """Return how many inquiries a cold replica gets at this age."""
    return min(slots, max(1, int(slots * min(1, age / warm_up))))
