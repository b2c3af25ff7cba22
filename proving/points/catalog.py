"""The catalog of scenarios: tuples (promise, scenario, guards that enforce the promise).

A scenario takes a seed and returns (violations, figures). A guard is (object, attribute name,
replacement): with the replacements in place the scenario must find a violation.
"""

from proving.points import (
    borrowed_capacity,
    callers,
    configuration,
    early_refusals,
    failures,
    fleet,
    isolated_cores_and_slow_disks,
    lots,
    many_configurations,
    membership,
    orders,
    partitions,
    reads,
    removed_members,
    retention,
    serving,
    starts,
    stream_resumption,
    streams,
    zone_loss,
)

POINTS = [
    *streams.POINTS,
    *serving.POINTS,
    *configuration.POINTS,
    *lots.POINTS,
    *partitions.POINTS,
    *borrowed_capacity.POINTS,
    *fleet.POINTS,
    *stream_resumption.POINTS,
    *zone_loss.POINTS,
    *early_refusals.POINTS,
    *starts.POINTS,
    *retention.POINTS,
    *reads.POINTS,
    *failures.POINTS,
    *orders.POINTS,
    *isolated_cores_and_slow_disks.POINTS,
    *membership.POINTS,
    *removed_members.POINTS,
    *callers.POINTS,
    *many_configurations.POINTS,
]
