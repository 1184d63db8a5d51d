"""The headers that callers, upstreams and the system exchange here."""

from ..entry.header_names import HeaderNames, UpstreamLoad

_LOAD_FIELDS = 3
_USUAL_SPEED = 100.0


def parse_load(text: str) -> UpstreamLoad | None:
    """Return a reported load, or None if it can't be read.

    The fourth figure is the time that work takes now, in percent of the usual.

    >>> parse_load('3,0,8,500')
    UpstreamLoad(running=3, waiting=0, slots=8, slowdown=5.0)
    """
    try:
        figures = [float(figure) for figure in text.split(',')]
    except ValueError:
        return None
    if len(figures) < _LOAD_FIELDS or min(figures) < 0:
        return None
    running, waiting, slots = figures[:_LOAD_FIELDS]
    slowdown = None
    if len(figures) > _LOAD_FIELDS:
        slowdown = figures[_LOAD_FIELDS] / _USUAL_SPEED
    return UpstreamLoad(int(running), int(waiting), int(slots), slowdown)


HEADER_NAMES = HeaderNames(
    request_id='X-Crocusproxy-Request-Id',
    deadline='X-Crocusproxy-Deadline-Milliseconds',
    # Only the upstream itself can make it; a success without it is no answer.
    signature='X-Crocusproxy-Response-Signature',
    expected_upstream='X-Crocusproxy-Expected-Instance',
    # Here, instance means the server that answers.
    upstream='X-Crocusproxy-Instance-Id',
    not_run='X-Crocusproxy-Not-Executed',
    load='X-Crocusproxy-Server-Load',
    parse_load=parse_load,
)
