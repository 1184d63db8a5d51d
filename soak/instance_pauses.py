"""Pauses of instances that no fault of the run has caused.

An instance that used no processor time in a pause waited for a processor; one
that used as much as it lasted was busy itself.
"""

from collections.abc import Iterator

from .instance_log import InstanceLog
from .propagation import unplanned_disturbances
from .records import InstancePause, RunRecord


def own_pauses(
    run: RunRecord, log: InstanceLog, instance: int, run_started_at: float
) -> Iterator[InstancePause]:
    """Yield the pauses of an instance; the run's start is in epoch time."""
    stops = [
        stop
        for stop in (*run.brief_pauses, *unplanned_disturbances(run))
        if stop.instance == instance
    ]
    for event in log.events:
        if event.kind != 'loop_paused':
            continue
        ended_at = event.at - run_started_at
        seconds = event.fields['seconds']
        is_caused = any(
            stop.start <= ended_at and stop.end >= ended_at - seconds
            for stop in stops
        )
        if not is_caused:
            busy_seconds = event.fields['processor_seconds']
            yield InstancePause(instance, ended_at, seconds, busy_seconds)
