"""Names pauses of the soak's own process or of the instance beside a violation.

The soak runs the store, the upstreams and the callers. A violation that happens
beside a pause stays one, but the pause may be its cause.
"""

import re
from collections.abc import Iterator

from .records import InstancePause, ObserverDelay, RunRecord, SentRequest

#: A pause may have delayed the upstreams or the store before the request.
BEFORE_REQUEST_SECONDS = 1.0
#: A violation without a request may have begun this long before its time.
BEFORE_TIME_SECONDS = 5.0
_REQUEST_ID = re.compile(r'\b[\w.-]*\d-\d+\b')
_TIME = re.compile(r'\bsecond (\d+\.\d+)')


def with_own_pause(run: RunRecord, line: str) -> str:
    """Return the line of a violation, with the longest pause beside it."""
    pauses = [
        pause
        for start, end in _periods(run, line)
        for pause in run.observer_delays
        if pause.start <= end and pause.end >= start
    ]
    if not pauses:
        return line
    longest = max(pauses, key=_seconds)
    return (
        f'{line} (beside a pause of the soak of {_seconds(longest):.2f} s, '
        f'{longest.waited:.2f} s of it without a processor)'
    )


def with_instance_pause(run: RunRecord, line: str) -> str:
    """Return the line of a violation, with the longest pause of its instance.

    Only the violation of a request has an instance.
    """
    names = set(_REQUEST_ID.findall(line))
    requests = [one for one in run.requests if one.request_id in names]
    for pause in run.instance_pauses:
        if any(_is_beside(pause, request) for request in requests):
            return f'{line} (beside: {pause})'
    return line


def _is_beside(pause: InstancePause, request: SentRequest) -> bool:
    return (
        pause.instance == request.instance
        and pause.ended_at - pause.seconds <= request.ended_at
        and pause.ended_at >= request.sent_at
    )


def _periods(run: RunRecord, line: str) -> Iterator[tuple[float, float]]:
    names = set(_REQUEST_ID.findall(line))
    for request in run.requests:
        if request.request_id in names:
            yield request.sent_at - BEFORE_REQUEST_SECONDS, request.ended_at
    for time in _TIME.findall(line):
        yield float(time) - BEFORE_TIME_SECONDS, float(time)


def _seconds(pause: ObserverDelay) -> float:
    return pause.end - pause.start
