"""Differences between two versions of the configuration."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, fields
from datetime import timedelta
from typing import Any, Literal

from ..accounts.keys import short_digest
from ..durations import format_duration
from ..routes.model import (
    CallerLimits,
    ClientAccount,
    Route,
    RouteConfig,
    ServiceSettings,
    WeightedService,
)

Kind = Literal['route', 'service', 'account', 'limits', 'authentication']
_Entry = Route | ServiceSettings | ClientAccount | CallerLimits
_KEYS = 'key_digests'


@dataclass(frozen=True, slots=True)
class FieldChange:
    """A field with its values as text."""

    field: str
    before: str
    after: str


@dataclass(frozen=True, slots=True)
class KeyChange:
    """Numbers of API keys, and short digests of those that differ."""

    before: int
    after: int
    added: tuple[str, ...]
    removed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Added:
    """An entry that only the newer version has."""

    kind: Kind
    name: str
    change: Literal['added'] = 'added'


@dataclass(frozen=True, slots=True)
class Removed:
    """An entry that only the older version has."""

    kind: Kind
    name: str
    change: Literal['removed'] = 'removed'


@dataclass(frozen=True, slots=True)
class Changed:
    """An entry that differs; ``keys`` is None if its API keys do not."""

    kind: Kind
    name: str
    fields: tuple[FieldChange, ...]
    keys: KeyChange | None = None
    change: Literal['changed'] = 'changed'


Difference = Added | Removed | Changed


def differences_between(
    before: RouteConfig, after: RouteConfig
) -> tuple[Difference, ...]:
    """Return what differs, without the version and the order of entries."""
    return (
        *_entry_differences('route', before.routes, after.routes),
        *_entry_differences('service', before.services, after.services),
        *_authentication_differences(before, after),
        *_entry_differences(
            'account', before.accounts or (), after.accounts or ()
        ),
        *_changed('limits', '', before.limits, after.limits),
    )


def _entry_differences(
    kind: Kind,
    before: Sequence[Route]
    | Sequence[ServiceSettings]
    | Sequence[ClientAccount],
    after: Sequence[Route]
    | Sequence[ServiceSettings]
    | Sequence[ClientAccount],
) -> Iterator[Difference]:
    older = {entry.name: entry for entry in before}
    newer = {entry.name: entry for entry in after}
    for name, entry in newer.items():
        older_entry = older.get(name)
        if older_entry is None:
            yield Added(kind, name)
        else:
            yield from _changed(kind, name, older_entry, entry)
    yield from (Removed(kind, name) for name in older if name not in newer)


def _authentication_differences(
    before: RouteConfig, after: RouteConfig
) -> Iterator[Difference]:
    states = [
        'off' if config.accounts is None else 'on' for config in (before, after)
    ]
    if states[0] != states[1]:
        yield Changed('authentication', '', (FieldChange('state', *states),))


def _changed(
    kind: Kind, name: str, before: _Entry, after: _Entry
) -> Iterator[Difference]:
    if before == after:
        return
    keys = None
    if isinstance(before, ClientAccount) and isinstance(after, ClientAccount):
        keys = _key_change(before, after)
    changes = tuple(_field_changes(before, after))
    if changes or keys:
        yield Changed(kind, name, changes, keys)


def _field_changes(before: _Entry, after: _Entry) -> Iterator[FieldChange]:
    for field in fields(after):
        older, newer = getattr(before, field.name), getattr(after, field.name)
        if older != newer and field.name != _KEYS:
            yield FieldChange(field.name, _as_text(older), _as_text(newer))


def _key_change(
    before: ClientAccount, after: ClientAccount
) -> KeyChange | None:
    older, newer = set(before.key_digests), set(after.key_digests)
    if older == newer:
        return None
    return KeyChange(
        len(older),
        len(newer),
        _short_digests(newer - older),
        _short_digests(older - newer),
    )


def _short_digests(digests: Iterable[str]) -> tuple[str, ...]:
    return tuple(sorted(map(short_digest, digests)))


def _as_text(field_value: Any) -> str:
    match field_value:
        case timedelta():
            return format_duration(field_value)
        case tuple():
            return ' '.join(map(_as_text, field_value))
        case WeightedService(service=service, weight=weight):
            return f'{service}:{weight}'
        case None:
            return 'none'
    return str(field_value)
