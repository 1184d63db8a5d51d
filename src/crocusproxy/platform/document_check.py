"""Reading of a configuration document, and location of findings in it."""

import json
import math
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from pydantic import ValidationError

from ..checks.findings import Finding, Severity
from ..routes.model import RouteConfig
from .document_lines import DocumentLines, Steps
from .wire import decode_config, validate_config

#: Names in the document by fields of the configuration. A field has the same
#: name in the document wherever it occurs.
_WIRE_NAMES = {  # noqa: WPS407 - read-only by convention
    'accounts': 'Tenants',
    'attempts': 'Attempts',
    'body_bytes': 'MaxBodyBytes',
    'burst': 'Burst',
    'header_bytes': 'MaxHeaderBytes',
    'header_timeout': 'HeaderTimeoutMs',
    'host': 'Host',
    'idle_timeout': 'IdleTimeoutMs',
    'key_digests': 'ApiKeys',
    'limits': 'Limits',
    'name': 'Name',
    'parts': 'TrafficSplit',
    'prefix': 'PathPrefix',
    'routes': 'Routes',
    'service': 'Service',
    'services': 'Services',
    'target_latency': 'TargetLatencyMs',
    'timeout': 'TimeoutMs',
    'version': 'Version',
    'warm_up': 'WarmupS',
    'warm_up_rate': 'WarmupPerS',
    'weight': 'Weight',
}
_SPLIT = 'TrafficSplit'
_HEXADECIMAL = re.compile('[0-9a-fA-F]+')
#: No useful number is larger. Durations of the standard library end at about
#: 8.6e13 seconds.
MAX_NUMBER = 1e12


@dataclass(frozen=True, slots=True)
class LocatedFinding:
    """A finding with its path in the document, for example Routes.3.TimeoutMs.

    ``line`` is that of the value, or of the object that lacks it; None if it
    is not known.
    """

    code: str
    severity: Severity
    path: str
    line: int | None
    message: str


@dataclass(frozen=True, slots=True)
class ReadableDocument:
    """A document that instances can read."""

    config: RouteConfig
    lines: DocumentLines


@dataclass(frozen=True, slots=True)
class UnreadableDocument:
    """A document that instances ignore, since they cannot read it."""

    findings: tuple[LocatedFinding, ...]


def read_config(text: str) -> ReadableDocument | UnreadableDocument:
    """Read a configuration document and find all faults of its form."""
    try:
        plain = json.loads(text)
    except json.JSONDecodeError as error:
        return _unreadable(_error('json_invalid', '', error.lineno, error.msg))
    except (ValueError, RecursionError) as error:
        return _unreadable(_error('json_invalid', '', None, str(error)))
    lines = DocumentLines(text)
    findings = tuple(_form_faults(text, lines))
    if findings:
        return UnreadableDocument(findings)
    try:
        return ReadableDocument(decode_config(text.encode()), lines)
    except (ValueError, OverflowError):
        return UnreadableDocument(tuple(_value_faults(plain, lines)))


def locate(
    document: ReadableDocument, findings: Iterable[Finding]
) -> tuple[LocatedFinding, ...]:
    """Add the path and the line to findings, and sort them by the line."""
    located = [_locate(document.lines, finding) for finding in findings]
    return tuple(sorted(located, key=lambda finding: finding.line or 0))


def _locate(lines: DocumentLines, finding: Finding) -> LocatedFinding:
    steps = _wire_steps(finding.place.steps)
    if _SPLIT in steps and not lines.has(steps):
        # A route without a split names its only service itself.
        before_split = steps[: steps.index(_SPLIT)]
        steps = (*before_split, steps[-1])
    return LocatedFinding(
        finding.code,
        finding.severity,
        _path(steps),
        lines.line(steps),
        finding.message,
    )


def _wire_steps(steps: Steps) -> Steps:
    return tuple(
        _WIRE_NAMES[step] if isinstance(step, str) else step for step in steps
    )


def _form_faults(text: str, lines: DocumentLines) -> Iterator[LocatedFinding]:
    try:
        validate_config(text.encode())
    except ValidationError as error:
        # The values are left out, since they may contain API keys.
        for detail in error.errors(include_input=False, include_url=False):
            steps = detail['loc']
            is_missing = detail['type'] == 'missing'
            code = 'missing_key' if is_missing else 'malformed_value'
            yield _error(code, _path(steps), lines.line(steps), detail['msg'])


def _value_faults(plain: Any, lines: DocumentLines) -> Iterator[LocatedFinding]:
    """Yield the values of the right type that cannot be converted."""
    for steps in _unusable_numbers(plain, ()):
        message = f'the value must be from {-MAX_NUMBER:g} to {MAX_NUMBER:g}'
        yield _error(
            'malformed_value', _path(steps), lines.line(steps), message
        )
    if not _HEXADECIMAL.fullmatch(plain['Version']):
        yield _error(
            'malformed_value',
            'Version',
            lines.line(('Version',)),
            'the version must be a hexadecimal number',
        )


def _unusable_numbers(plain: Any, steps: Steps) -> Iterator[Steps]:
    match plain:
        case dict():
            for key, member in plain.items():
                yield from _unusable_numbers(member, (*steps, key))
        case list():
            for index, entry in enumerate(plain):
                yield from _unusable_numbers(entry, (*steps, index))
        case int() | float():
            if math.isnan(plain) or abs(plain) > MAX_NUMBER:
                yield steps


def _path(steps: Steps) -> str:
    return '.'.join(map(str, steps))


def _error(
    code: str, path: str, line: int | None, message: str
) -> LocatedFinding:
    return LocatedFinding(code, Severity.error, path, line, message)


def _unreadable(finding: LocatedFinding) -> UnreadableDocument:
    return UnreadableDocument((finding,))
