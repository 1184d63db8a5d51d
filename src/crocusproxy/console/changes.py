"""Compares service forms and converts them to configuration edits."""

import hashlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

from ..config.change import Edit, edits_between
from ..config.model import Document, Service
from ..config.validation import service_path, upstream_path
from ..errors import Fault
from ..protocol.codec import encode
from .forms import (
    COLUMNS,
    FIELDS,
    CheckedForm,
    ServiceForm,
    UpstreamRow,
    form_from_service,
)


@dataclass(frozen=True, slots=True)
class Difference:
    """Text of a field before and after a change; empty where absent."""

    label: str
    before: str
    after: str


def service_digest(document: Document, service: str) -> str:
    """Return a digest of a service with its upstreams; empty if absent."""
    service_config = document.services.get(service)
    if service_config is None:
        return ''
    digest = hashlib.sha256(encode(service_config))
    for upstream in document.upstreams_of(service):
        digest.update(encode(upstream))
    return digest.hexdigest()


def form_from_document(document: Document, service: str) -> ServiceForm | None:
    """Return the form of a service; None if it is not in the document."""
    service_config = document.services.get(service)
    if service_config is None:
        return None
    return form_from_service(
        service_config,
        document.upstreams_of(service),
        document.generation,
        service_digest(document, service),
    )


def default_form(document: Document) -> ServiceForm:
    """Return the form of a new service, filled with the defaults."""
    return form_from_service(Service(''), (), document.generation)


def put_edits(document: Document, form: CheckedForm) -> tuple[Edit, ...]:
    """Return the edits that make the document match a form."""
    name = form.service.name
    upstreams_by_key = {upstream.key: upstream for upstream in form.upstreams}
    removed_keys = document.table.group(name).keys() - upstreams_by_key.keys()
    new_document = Document(
        document.generation,
        {**document.services, name: form.service},
        document.table.with_edits(upstreams_by_key, removed_keys),
    )
    return edits_between(document, new_document)


def delete_edits(document: Document, service: str) -> tuple[Edit, ...]:
    """Return the edits that remove a service with its upstreams."""
    services = dict(document.services)
    services.pop(service, None)
    group = document.table.group(service)
    upstreams = document.table.with_edits({}, group.keys())
    new_document = Document(document.generation, services, upstreams)
    return edits_between(document, new_document)


def form_differences(
    before: ServiceForm | None,
    after: ServiceForm | None,
) -> tuple[Difference, ...]:
    """Compare two forms, upstreams by name; None is an absent service."""
    return (
        *_field_differences(before, after),
        *_upstream_differences(_rows_by_name(before), _rows_by_name(after)),
    )


def map_fault_paths(
    form: ServiceForm,
    faults: Iterable[Fault],
) -> tuple[Fault, ...]:
    """Map the paths of faults from the document to the fields of the form."""
    field_paths = {service_path(form.name): 'name'}
    for field in FIELDS:
        field_paths[f'{service_path(form.name)}.{field.path}'] = field.path
    for number, row in enumerate(form.rows):
        # Of two rows with the same name, the first gets the faults.
        path = upstream_path(f'{form.name}/{row.name}')
        field_paths.setdefault(path, f'upstreams.{number}.name')
        field_paths.setdefault(f'{path}.service', f'upstreams.{number}.name')
        for column in COLUMNS:
            field_path = f'upstreams.{number}.{column}'
            field_paths.setdefault(f'{path}.{column}', field_path)
    return tuple(
        replace(fault, path=field_paths.get(fault.path, fault.path))
        for fault in faults
    )


def _field_differences(
    before: ServiceForm | None,
    after: ServiceForm | None,
) -> Iterator[Difference]:
    for field in FIELDS:
        old = before.text(field.path) if before else ''
        new = after.text(field.path) if after else ''
        if old != new:
            yield Difference(field.label, old, new)


def _upstream_differences(
    before: dict[str, UpstreamRow],
    after: dict[str, UpstreamRow],
) -> Iterator[Difference]:
    for name in sorted(before.keys() | after.keys()):
        old, new = before.get(name), after.get(name)
        label = f'Upstream {name}'
        if old is None or new is None:
            yield Difference(
                label, _describe_upstream(old), _describe_upstream(new)
            )
            continue
        for column in COLUMNS:
            texts = (getattr(old, column), getattr(new, column))
            if texts[0] != texts[1]:
                column_label = column.replace('_', ' ')
                yield Difference(f'{label}: {column_label}', *texts)


def _rows_by_name(form: ServiceForm | None) -> dict[str, UpstreamRow]:
    return {row.name: row for row in form.rows} if form else {}


def _describe_upstream(row: UpstreamRow | None) -> str:
    if row is None:
        return ''
    return f'{row.address}, {row.failure_domain}, {row.slots} slots'
