"""Checks that connections end only after the responses on them.

A connection ends only once each request that was passed on to an upstream has
its whole response at its caller, or the caller is gone.
"""

from collections.abc import Iterator

from .propagation import unplanned_disturbances
from .records import RunRecord, SentRequest

#: Causes with which an instance ends a connection by itself.
OWN_CAUSES = frozenset(('stop', 'idle_timeout', 'response', 'send_timeout'))
#: A request that waited longer in the kernel must get an answer.
LOSS_SLACK_SECONDS = 0.2
#: Stages in which a request has been passed on.
PASSED_ON_STAGES = frozenset(('forwarded', 'sent', 'answered'))


def lost_responses(run: RunRecord) -> Iterator[str]:
    """Check callers' records: only a kill or a freeze may cost a response.

    Neither a faulty upstream nor planned work ends a caller's connection.
    """
    passed_on = {arrival.request_id for arrival in run.arrivals}
    for request in run.requests:
        if request.outcome != 'cut' or request.request_id not in passed_on:
            continue
        if not _was_own_instance_disturbed(run, request):
            yield (
                f'cut off after it was passed on: {request.request_id} '
                f'at n{request.instance} before second {request.ended_at:.2f}'
            )


def lost_unread(run: RunRecord) -> Iterator[str]:
    """Check that a connection does not end on a request that waited.

    Its bytes had long arrived, read or not. It does not count behind another
    request on its connection, which it may have crossed. A pause of the
    instance is no excuse: the request can be answered after it.
    """
    passed_on = {arrival.request_id for arrival in run.arrivals}
    for request in run.requests:
        waited = request.ended_at - request.sent_at
        is_lost = (
            request.outcome == 'cut'
            and request.request_id not in passed_on
            and not request.is_behind
            and waited > LOSS_SLACK_SECONDS
        )
        if is_lost and not _was_own_instance_disturbed(run, request):
            yield (
                f'cut off {waited:.2f} s after it was sent: '
                f'{request.request_id} at n{request.instance} '
                f'before second {request.ended_at:.2f}'
            )


def lost_by_log(run: RunRecord) -> Iterator[str]:
    """Check connections that instances logged as ended by themselves.

    The bytes that were not acknowledged may have arrived after the log line,
    and a caller that has left needs no response.
    """
    cut = {
        request.request_id
        for request in run.requests
        if request.outcome == 'cut'
    }
    known = {request.request_id for request in run.requests}
    for end in run.connection_ends:
        if end.cause not in OWN_CAUSES:
            continue
        for request_id, stage in end.stages:
            is_lost = request_id in cut or request_id not in known
            if is_lost and stage in PASSED_ON_STAGES:
                yield (
                    f'n{end.instance} ended a connection ({end.cause}) with '
                    f'{request_id} {stage}'
                )


def _was_own_instance_disturbed(run: RunRecord, request: SentRequest) -> bool:
    return any(
        disturbance.instance == request.instance
        and disturbance.start <= request.ended_at
        and disturbance.end >= request.sent_at
        for disturbance in unplanned_disturbances(run)
    )
