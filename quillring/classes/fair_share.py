"""Division of a service's capacity: guaranteed shares first, then idle capacity by urgency."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any


def allocate(
    capacity: int, classes: Mapping[str, Mapping[str, Any]], demands: Mapping[str, int]
) -> dict[str, int]:
    """Return {class: slots it may use}, out of `capacity` slots.

    `classes` is {class: {share, urgency}}, `demands` is {class: requests running or queued}. A
    class is granted its demand up to its share. Idle slots are lent to the classes that demand
    more, in descending order of urgency.
    """
    share_sum = sum(classes[name]["share"] for name in demands) or 1
    own_shares = {name: classes[name]["share"] / share_sum * capacity for name in demands}
    granted = {name: min(demands[name], math.floor(own_shares[name])) for name in demands}
    idle = capacity - sum(granted.values())
    for name in sorted(demands, key=lambda n: (-classes[n]["urgency"], n)):
        lent = min(idle, demands[name] - granted[name])
        granted[name] += lent
        idle -= lent
    return granted


def apportion(amount: int, demands: Mapping[str, int]) -> dict[str, int]:
    """Return {name: part of the amount}, proportional to the demand and never above it.

    The integer parts add up to the amount, or to the total demand if that is less. They are rounded
    by the largest remainder method (Hamilton); ties are broken by name.
    """
    total = sum(demands.values())
    if total <= amount:
        return dict(demands)
    exact = {name: amount * demand / total for name, demand in demands.items()}
    parts = {name: math.floor(value) for name, value in exact.items()}
    by_remainder = sorted(exact, key=lambda n: (parts[n] - exact[n], n))
    for name in by_remainder[: amount - sum(parts.values())]:
        parts[name] += 1
    return parts


def slow_start_slots(slots: int, age_seconds: float, warm_up_seconds: float) -> int:
    """Return how many requests a cold replica may run: at least 1, growing linearly with age."""
    warm_share = min(1, age_seconds / warm_up_seconds)
    return min(slots, max(1, int(slots * warm_share)))
