"""The ``explain`` command: log lines of all instances about one request."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .exits import ExitCode, WrongInputError
from .output import Result

#: Related events are shown from this long before the request.
LOOKBACK_SECONDS = 5.0
_UPSTREAM_EVENTS = frozenset(
    (
        'upstream_changed',
        'upstream_limit_changed',
        'upstream_leaving',
        'upstream_backoff',
        'probe_failed',
        'upstream_entry_unusable',
    )
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
        'domain_homes_changed',
        'upstream_reach_compared',
        'upstreams_unreached',
        'upstreams_reached_again',
    )
)
_HIDDEN_FIELDS = frozenset(
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
    """One parsed line of a log; ``timestamp`` is in seconds since 1970."""

    timestamp: float
    instance: str
    event: str
    fields: dict[str, Any]


def explain(request_id: str, files: Iterable[str]) -> Result:
    """Return the log lines of a request and of related events.

    Raises:
        WrongInputError: a file cannot be read.
    """
    lines = sorted(_read_files(files), key=lambda line: line.timestamp)
    request_lines = [line for line in lines if _names(line, request_id)]
    if not request_lines:
        text = f'no log line has request id {request_id}'
        return Result({'lines': []}, text, ExitCode.rejected)
    related_lines = [line for line in lines if _is_related(line, request_lines)]
    shown_lines = sorted(
        (*related_lines, *request_lines), key=lambda line: line.timestamp
    )
    text = '\n'.join(
        _format_line(line, request_lines[0].timestamp) for line in shown_lines
    )
    json_value = {
        'lines': [
            {
                'at': line.timestamp,
                'instance': line.instance,
                'event': line.event,
            }
            | line.fields
            for line in shown_lines
        ]
    }
    return Result(json_value, text)


def _read_files(files: Iterable[str]) -> Iterator[LogLine]:
    for path in files:
        try:
            text = Path(path).read_text(errors='replace')
        except OSError as error:
            raise WrongInputError(f'{path}: {error}') from error
        yield from filter(None, map(_parse, text.splitlines()))


def _parse(text: str) -> LogLine | None:
    """Parse a log line after any prefix that a log collector added.

    >>> _parse('12:00 n1 {"timestamp": 2.5, "message_type": "started"}').event
    'started'
    """
    start = text.find('{')
    if start < 0:
        return None
    try:
        record = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(record.get('timestamp'), int | float):
        return None
    fields = {
        name: field
        for name, field in record.items()
        if name not in _HIDDEN_FIELDS
    }
    # Always present, so that lines without a request compare as unequal.
    fields['request_id'] = record.get('request_id', '')
    return LogLine(
        record['timestamp'],
        record.get('instance', ''),
        record.get('message_type', ''),
        fields,
    )


def _names(line: LogLine, request_id: str) -> bool:
    """Return whether a line is about a request, alone or among others."""
    others = line.fields.get('requests')
    if isinstance(others, list):
        return any(other.get('request_id') == request_id for other in others)
    return bool(line.fields['request_id'] == request_id)


def _is_related(line: LogLine, request_lines: list[LogLine]) -> bool:
    """Return whether an event may have affected the request."""
    if (
        line in request_lines
        or not request_lines[0].timestamp - LOOKBACK_SECONDS
        <= line.timestamp
        <= request_lines[-1].timestamp
    ):
        return False
    if line.event in _INSTANCE_EVENTS:
        return line.instance in {
            request_line.instance for request_line in request_lines
        }
    upstreams = {
        request_line.fields.get('upstream') for request_line in request_lines
    }
    is_upstream_event = line.event in _UPSTREAM_EVENTS
    return is_upstream_event and line.fields.get('upstream') in upstreams


def _format_line(line: LogLine, request_start: float) -> str:
    """Format a line; ``*`` marks lines with a request id.

    The time is relative to ``request_start``, in seconds since 1970.
    """
    milliseconds = (line.timestamp - request_start) * 1000
    fields = ' '.join(
        f'{name}={field}'
        for name, field in line.fields.items()
        if name != 'request_id' and field != ''
    )
    marker = '*' if line.fields['request_id'] else ' '
    return (
        f'{marker} {milliseconds:+9.1f} ms  {line.instance}  {line.event}  '
        f'{fields}'
    )
