"""When a change in the store has reached all instances."""

from math import inf

from .records import InstanceDisturbance, RunRecord


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
    restores = {
        period for period in run.store_disturbances if period.is_restore
    }
    for period in sorted(
        (
            *run.store_disturbances,
            *unplanned_disturbances(run),
            *run.observer_delays,
        ),
        key=lambda each: each.start,
    ):
        is_relevant = changed_at <= period.end and period.start <= at
        if is_relevant and (period.start <= settled_at or period in restores):
            settled_at = max(settled_at, period.end + allowed_seconds)
    return at >= settled_at


def is_excused(run: RunRecord, start: float, end: float) -> bool:
    """Return whether an instance was disturbed, so that it may not know."""
    return any(
        disturbance.start <= end and disturbance.end >= start
        for disturbance in unplanned_disturbances(run)
    )


def unplanned_disturbances(run: RunRecord) -> list[InstanceDisturbance]:
    """Return when instances were killed or paused."""
    return [
        disturbance
        for disturbance in run.instance_disturbances
        if not disturbance.is_planned
    ]
