"""Changes by operators, as records of stream ``config``, and their edits."""

from collections.abc import Iterable
from datetime import datetime
from typing import Literal

from pydantic.dataclasses import dataclass

from ..settings import STRICT
from .model import Document, Service, Upstream

#: Version of the validation rules. A reader stops at a record with a higher
#: version; raise it whenever a rule or the format of a record changes.
RULES_VERSION = 1

Kind = Literal['service', 'upstream']


@dataclass(frozen=True, slots=True, config=STRICT)
class Put:
    """Adds or replaces one object; ``key`` is the key of ``value``."""

    kind: Kind
    key: str
    value: Service | Upstream
    op: Literal['put'] = 'put'


@dataclass(frozen=True, slots=True, config=STRICT)
class Delete:
    """Removes one object."""

    kind: Kind
    key: str
    op: Literal['delete'] = 'delete'


Edit = Put | Delete


@dataclass(frozen=True, slots=True, config=STRICT)
class Change:
    """One submission, valid only against generation ``base``.

    ``rules`` is the version of the validation rules that its writer applied.
    """

    submission: str
    base: int
    edits: tuple[Edit, ...]
    operator: str
    at: datetime
    rules: int = RULES_VERSION
    type: Literal['change'] = 'change'


def apply_edits(
    document: Document,
    edits: Iterable[Edit],
    generation: int,
) -> Document:
    """Return the document with ``edits`` applied, as ``generation``."""
    services = dict(document.services)
    put: dict[str, Upstream] = {}
    removed: set[str] = set()
    for edit in edits:
        match edit:
            case Put(key=key, value=Service() as service):
                services[key] = service
            case Put(key=key, value=Upstream() as upstream):
                put[key] = upstream
                removed.discard(key)
            case Delete(kind='service', key=key):
                services.pop(key, None)
            case Delete(key=key):
                put.pop(key, None)
                removed.add(key)
    upstreams = document.table.with_edits(put, removed)
    return Document(generation, services, upstreams)


def edits_between(old: Document, new: Document) -> tuple[Edit, ...]:
    """Return the edits that turn ``old`` into ``new``, in a stable order.

    The upstreams of a service are not compared if both documents hold the same
    mapping object for it.
    """
    return (
        *_service_edits(old, new),
        *(
            edit
            for service in sorted(old.table.groups.keys() | new.table.groups)
            for edit in _upstream_edits(old, new, service)
        ),
    )


def _service_edits(old: Document, new: Document) -> Iterable[Edit]:
    for key in sorted(old.services.keys() | new.services.keys()):
        new_object = new.services.get(key)
        if new_object is None:
            yield Delete('service', key)
        elif new_object != old.services.get(key):
            yield Put('service', key, new_object)


def _upstream_edits(
    old: Document,
    new: Document,
    service: str,
) -> Iterable[Edit]:
    before = old.table.group(service)
    after = new.table.group(service)
    if before is after:
        return
    for key in sorted(before.keys() | after.keys()):
        new_object = after.get(key)
        if new_object is None:
            yield Delete('upstream', key)
        elif new_object != before.get(key):
            yield Put('upstream', key, new_object)
