"""When a change in the store has reached all instances."""

from math import inf

from .records import RunRecord


def is_in_force(
    run: RunRecord, changed_at: float, allowed_seconds: float, at: float
) -> bool:
    """Return whether all instances must know at ``at`` of a change.

    They have ``allowed_seconds`` from the change, or from the end of a
    disturbance of the store, an instance or the soak itself in that time. A
    restore of the store may also undo a change later. What has always been
    there is in force.
    """
    if changed_at == -inf:
        return True
    settled_at = changed_at + allowed_seconds
    unplanned = (
        disturbance
        for disturbance in run.instance_disturbances
        if not disturbance.is_planned
    )
    restores = {
        period for period in run.store_disturbances if period.is_restore
    }
    for period in sorted(
        (*run.store_disturbances, *unplanned, *run.observer_delays),
        key=lambda each: each.start,
    ):
        is_relevant = changed_at <= period.end and period.start <= at
        if is_relevant and (period.start <= settled_at or period in restores):
            settled_at = max(settled_at, period.end + allowed_seconds)
    return at >= settled_at
