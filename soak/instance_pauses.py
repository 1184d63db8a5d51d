"""Pauses of instances that no fault of the run has caused.

An instance that used no processor time in a pause waited for a processor; one
that used as much as it lasted was busy itself.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from .instance_log import InstanceLog
from .propagation import unplanned_disturbances
from .records import RunRecord


@dataclass(frozen=True, slots=True)
class InstancePause:
    """A pause that an instance logged, in seconds of the run."""

    instance: int
    ended_at: float
    seconds: float
    busy_seconds: float

    def __str__(self) -> str:
        return (
            f'n{self.instance} paused for {self.seconds:.2f} s before second '
            f'{self.ended_at:.2f}, busy for {self.busy_seconds:.2f} s of it'
        )


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
