"""Differences between forms, and the edits that a form stands for."""

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
    form_of,
)


@dataclass(frozen=True, slots=True)
class Difference:
    """One field with its text on both sides; empty where it is absent."""

    field: str
    before: str
    after: str


def digest_of(document: Document, service: str) -> str:
    """Identify what a document says about a service; empty if nothing."""
    found = document.services.get(service)
    if found is None:
        return ''
    digest = hashlib.sha256(encode(found))
    for upstream in document.upstreams_of(service):
        digest.update(encode(upstream))
    return digest.hexdigest()


def form_in(document: Document, service: str) -> ServiceForm | None:
    """Fill the form of a service; None if the document does not have it."""
    found = document.services.get(service)
    if found is None:
        return None
    return form_of(
        found,
        document.upstreams_of(service),
        document.generation,
        digest_of(document, service),
    )


def new_form(document: Document) -> ServiceForm:
    """Fill the form of a new service with the defaults."""
    return form_of(Service(''), (), document.generation)


def put_edits(document: Document, form: CheckedForm) -> tuple[Edit, ...]:
    """Return the edits that make the document match a form."""
    name = form.service.name
    put = {upstream.key: upstream for upstream in form.upstreams}
    removed = document.table.group(name).keys() - put.keys()
    wanted = Document(
        document.generation,
        {**document.services, name: form.service},
        document.table.with_edits(put, removed),
    )
    return edits_between(document, wanted)


def delete_edits(document: Document, service: str) -> tuple[Edit, ...]:
    """Return the edits that remove a service with its upstreams."""
    services = dict(document.services)
    services.pop(service, None)
    group = document.table.group(service)
    upstreams = document.table.with_edits({}, group.keys())
    wanted = Document(document.generation, services, upstreams)
    return edits_between(document, wanted)


def differences(
    before: ServiceForm | None,
    after: ServiceForm | None,
) -> tuple[Difference, ...]:
    """List the fields that differ, upstreams by name; None has no fields."""
    return (
        *_field_differences(before, after),
        *_upstream_differences(_rows_of(before), _rows_of(after)),
    )


def field_faults(
    form: ServiceForm,
    faults: Iterable[Fault],
) -> tuple[Fault, ...]:
    """Turn paths of the document into paths of the form's fields."""
    places = {service_path(form.name): 'name'}
    for field in FIELDS:
        places[f'{service_path(form.name)}.{field.path}'] = field.path
    for number, row in enumerate(form.rows):
        path = upstream_path(f'{form.name}/{row.name}')
        places.setdefault(path, f'upstreams.{number}.name')
        places.setdefault(f'{path}.service', f'upstreams.{number}.name')
        for column in COLUMNS:
            place = f'upstreams.{number}.{column}'
            places.setdefault(f'{path}.{column}', place)
    return tuple(
        replace(fault, path=places.get(fault.path, fault.path))
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
            yield Difference(label, _describe(old), _describe(new))
            continue
        for column in COLUMNS:
            texts = (getattr(old, column), getattr(new, column))
            if texts[0] != texts[1]:
                column_label = column.replace('_', ' ')
                yield Difference(f'{label}: {column_label}', *texts)


def _rows_of(form: ServiceForm | None) -> dict[str, UpstreamRow]:
    return {row.name: row for row in form.rows} if form else {}


def _describe(row: UpstreamRow | None) -> str:
    if row is None:
        return ''
    return f'{row.address}, {row.failure_domain}, {row.slots} slots'
