"""From a request's id to its cause, out of the log files of all instances."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .exits import ExitCode, WrongInputError
from .output import Result

#: How far before a request its surroundings are shown, in seconds.
BEFORE = 5.0
_UPSTREAM_EVENTS = frozenset(
    ('upstream_changed', 'probe_failed', 'upstream_entry_unusable')
)
_INSTANCE_EVENTS = frozenset(
    (
        'home_taken_over',
        'home_lost',
        'home_followed',
        'home_given_up',
        'route_config_in_force',
        'store_lost',
        'store_regained',
        'draining',
        'started',
        'settings_reloaded',
    )
)
_HIDDEN = frozenset(
    (
        'message_type',
        'timestamp',
        'task_uuid',
        'task_level',
        'program',
        'instance',
        'request_id',
    )
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log; ``at`` is in seconds since 1970."""

    at: float
    instance: str
    event: str
    fields: dict[str, Any]


def explain(request_id: str, files: Iterable[str]) -> Result:
    """Return the log lines that tell what happened to a request.

    Raises:
        WrongInputError: a file can't be read.
    """
    lines = sorted(_read_all(files), key=lambda line: line.at)
    own = [line for line in lines if line.fields['request_id'] == request_id]
    if not own:
        text = f'no line names request {request_id}'
        return Result({'lines': []}, text, ExitCode.rejected)
    around = [line for line in lines if _is_related(line, own)]
    chain = sorted((*around, *own), key=lambda line: line.at)
    text = '\n'.join(_row(line, own[0].at) for line in chain)
    plain = {
        'lines': [
            {'at': line.at, 'instance': line.instance, 'event': line.event}
            | line.fields
            for line in chain
        ]
    }
    return Result(plain, text)


def _read_all(files: Iterable[str]) -> Iterator[LogLine]:
    for name in files:
        try:
            text = Path(name).read_text(errors='replace')
        except OSError as error:
            raise WrongInputError(f'{name}: {error}') from error
        yield from filter(None, map(_parse, text.splitlines()))


def _parse(text: str) -> LogLine | None:
    """Return a line of the log; what a collector writes before it is skipped.

    >>> _parse('12:00 n1 {"timestamp": 2.5, "message_type": "started"}').event
    'started'
    """
    start = text.find('{')
    if start < 0:
        return None
    try:
        raw = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(raw.get('timestamp'), int | float):
        return None
    fields = {name: field for name, field in raw.items() if name not in _HIDDEN}
    fields['request_id'] = raw.get('request_id', '')
    return LogLine(
        raw['timestamp'],
        raw.get('instance', ''),
        raw.get('message_type', ''),
        fields,
    )


def _is_related(line: LogLine, own: list[LogLine]) -> bool:
    """Return whether a line tells of what the request met."""
    if line in own or not own[0].at - BEFORE <= line.at <= own[-1].at:
        return False
    if line.event in _INSTANCE_EVENTS:
        return line.instance in {one.instance for one in own}
    upstreams = {one.fields.get('upstream') for one in own}
    is_upstream = line.event in _UPSTREAM_EVENTS
    return is_upstream and line.fields.get('upstream') in upstreams


def _row(line: LogLine, start: float) -> str:
    milliseconds = (line.at - start) * 1000
    fields = ' '.join(
        f'{name}={field}'
        for name, field in line.fields.items()
        if name != 'request_id' and field != ''
    )
    mark = '*' if line.fields['request_id'] else ' '
    return (
        f'{mark} {milliseconds:+9.1f} ms  {line.instance}  {line.event}  '
        f'{fields}'
    )
