"""The form of one service: parses and checks its fields.

A rejected form keeps every field as typed, with the fault at its field.
"""

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from ..adapters import adapter_for
from ..config.model import Service, Upstream
from ..documents import check_document
from ..errors import Fault, InvalidDocumentError

#: Empty rows that a form offers for new upstreams.
SPARE_ROWS = 3
_ROW_KEY = re.compile('upstreams[.]([0-9]{1,5})[.][a-z_]+')


@dataclass(frozen=True, slots=True)
class Field:
    """One input; ``path`` is the dotted path in the YAML of a service."""

    path: str
    label: str
    help: str
    is_number: bool = False


FIELDS = (
    Field('deadline', 'Deadline', 'with a unit, such as 500ms or 2s'),
    Field('homes', 'Homes', 'instances that dispatch its requests', True),
    Field('depth', 'Depth', 'requests per upstream beyond its slots', True),
    Field('queue', 'Queue', 'requests that may wait at a home', True),
    Field('retry_share', 'Retry share', 'share of requests, 0 to 1', True),
    Field(
        'max_eject_share', 'Ejection limit', 'share of upstreams, 0 to 1', True
    ),
    Field('probe_budget.per_second', 'Probes', 'per second, at most', True),
    Field('probe_budget.bytes_per_second', 'Probe bytes', 'per second', True),
    Field('objective.within', 'Answered within', 'with a unit'),
    Field('objective.share', 'Objective', 'share of requests, 0 to 1', True),
    Field('objective.window', 'Objective window', 'such as 28d'),
    Field('older_balancer.address', 'Older balancer', 'IP:port or empty'),
    Field(
        'older_balancer.share',
        'Older balancer share',
        'share of callers, 0 to 1',
        True,
    ),
)
COLUMNS = ('name', 'address', 'failure_domain', 'slots')


@dataclass(frozen=True, slots=True)
class UpstreamRow:
    """The fields of one upstream, as typed."""

    name: str = ''
    address: str = ''
    failure_domain: str = ''
    slots: str = ''

    @property
    def is_empty(self) -> bool:
        """Whether all fields are empty."""
        return not (
            self.name or self.address or self.failure_domain or self.slots
        )


@dataclass(frozen=True, slots=True)
class ServiceForm:
    """The fields of a service, as typed.

    ``base`` is the generation that the form was opened on, and ``base_digest``
    the digest of the service in it, empty for a new service. The form field of
    ``base_digest`` is ``seen``.
    """

    name: str
    base: int
    texts: Mapping[str, str]
    rows: tuple[UpstreamRow, ...]
    base_digest: str = ''

    def text(self, path: str) -> str:
        """Return the text of the field at ``path``."""
        return self.texts.get(path, '')

    @property
    def rows_to_show(self) -> tuple[UpstreamRow, ...]:
        """Return the non-empty rows and ``SPARE_ROWS`` empty ones."""
        non_empty_rows = tuple(row for row in self.rows if not row.is_empty)
        return non_empty_rows + (UpstreamRow(),) * SPARE_ROWS


@dataclass(frozen=True, slots=True)
class CheckedForm:
    """The service and the upstreams of a form without faults."""

    service: Service
    upstreams: tuple[Upstream, ...]


def form_from_service(
    service: Service,
    upstreams: tuple[Upstream, ...],
    generation: int,
    base_digest: str = '',
) -> ServiceForm:
    """Return the form of a configured service."""
    raw_fields = adapter_for(Service).dump_python(service, mode='json')
    texts = {field.path: _get_path(raw_fields, field.path) for field in FIELDS}
    rows = tuple(
        UpstreamRow(
            upstream.name,
            upstream.address,
            upstream.failure_domain,
            str(upstream.slots),
        )
        for upstream in upstreams
    )
    return ServiceForm(service.name, generation, texts, rows, base_digest)


def read_form(posted: Mapping[str, str]) -> ServiceForm:
    """Parse a posted form without checking its fields.

    Raises:
        InvalidDocumentError: the generation is not a number.
    """
    base = posted.get('base', '')
    if not base.isdecimal():
        fault = Fault(
            'base', 'a generation number', repr(base[:20]), 'value_error'
        )
        raise InvalidDocumentError('form', (fault,))
    texts = {field.path: posted.get(field.path, '').strip() for field in FIELDS}
    rows = (_read_row(posted, number) for number in _row_numbers(posted))
    return ServiceForm(
        posted.get('name', '').strip(),
        int(base),
        texts,
        tuple(row for row in rows if not row.is_empty),
        posted.get('seen', ''),
    )


def check_form(form: ServiceForm) -> CheckedForm:
    """Check every field and row.

    Raises:
        InvalidDocumentError: with one fault for each invalid field; paths of
            rows have the form ``upstreams.0.slots``.
    """
    faults: list[Fault] = []
    service: Service | None = None
    try:
        service = check_document(Service, _service_fields(form), 'form')
    except InvalidDocumentError as error:
        faults.extend(error.faults)
    upstreams = tuple(
        upstream
        for number, row in enumerate(form.rows)
        if (upstream := _check_row(form.name, number, row, faults))
    )
    faults.extend(_duplicate_names(form.rows))
    if faults or service is None:
        raise InvalidDocumentError('form', tuple(faults))
    return CheckedForm(service, upstreams)


def _service_fields(form: ServiceForm) -> dict[str, object]:
    raw_fields: dict[str, object] = {'name': form.name}
    for field in FIELDS:
        text = form.text(field.path)
        if text:
            _set_path(raw_fields, field.path, text)
    return raw_fields


def _check_row(
    service: str,
    number: int,
    row: UpstreamRow,
    faults: list[Fault],
) -> Upstream | None:
    raw_fields = {
        column: getattr(row, column)
        for column in COLUMNS
        if getattr(row, column)
    }
    try:
        return check_document(
            Upstream, {**raw_fields, 'service': service}, 'form'
        )
    except InvalidDocumentError as error:
        for fault in error.faults:
            path = f'upstreams.{number}.{fault.path}'
            faults.append(
                Fault(path, fault.expected, fault.found, fault.code),
            )
    return None


def _duplicate_names(rows: tuple[UpstreamRow, ...]) -> Iterator[Fault]:
    """Find duplicate names; only one of their rows would take effect."""
    seen: set[str] = set()
    for number, row in enumerate(rows):
        if row.name in seen:
            path = f'upstreams.{number}.name'
            yield Fault(path, 'a unique name', row.name, 'duplicate_upstream')
        seen.add(row.name)


def _row_numbers(posted: Mapping[str, str]) -> list[int]:
    matches = (_ROW_KEY.fullmatch(key) for key in posted)
    return sorted({int(match.group(1)) for match in matches if match})


def _read_row(posted: Mapping[str, str], number: int) -> UpstreamRow:
    texts = (
        posted.get(f'upstreams.{number}.{column}', '').strip()
        for column in COLUMNS
    )
    return UpstreamRow(*texts)


def _get_path(raw_fields: Mapping[str, object], path: str) -> str:
    entry: object = raw_fields
    for part in path.split('.'):
        entry = entry.get(part, '') if isinstance(entry, Mapping) else ''
    return str(entry)


def _set_path(raw_fields: dict[str, object], path: str, text: str) -> None:
    *parents, last = path.split('.')
    inner = raw_fields
    for parent in parents:
        child = inner.setdefault(parent, {})
        if isinstance(child, dict):
            inner = child
    inner[last] = text
