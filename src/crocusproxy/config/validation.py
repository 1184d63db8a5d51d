"""Validation rules for changes and documents.

They are pure functions, so that all readers reach the same verdicts.
"""

import ipaddress
import math
import re
from collections.abc import Iterable, Iterator
from datetime import timedelta
from typing import Any

from ..durations import format_duration
from ..errors import Fault
from .change import Change, Put, apply_edits
from .model import Document, OlderBalancer, Service, Upstream

MAX_EDITS = 20_000
_MAX_FAULTS = 50
_MAX_FOUND_CHARACTERS = 60
_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9._~-]{0,63}')
_ADDRESS = re.compile(r'(?:\[([0-9a-f:.]+)\]|([0-9.]+)):([1-9][0-9]{0,4})')
_MAX_PORT = 65535
_MILLISECOND = timedelta(milliseconds=1)
_HOUR = timedelta(hours=1)
_YEAR = timedelta(days=365)


def check_change(
    document: Document,
    change: Change,
) -> tuple[Document, tuple[Fault, ...]]:
    """Return the next generation and the faults that forbid it.

    Only the objects that the change edits are checked.
    """
    faults = list(_edit_list_faults(change))
    next_document = apply_edits(document, change.edits, document.generation + 1)
    if not faults:
        faults.extend(_edit_faults(document, next_document, change))
    return next_document, tuple(faults[:_MAX_FAULTS])


def check_content(document: Document) -> tuple[Fault, ...]:
    """Return every fault of a whole document."""
    faults: list[Fault] = []
    for service in document.services.values():
        faults.extend(service_faults(service))
    domain_by_address: dict[str, str] = {}
    for upstream in document.upstreams.values():
        faults.extend(upstream_faults(upstream))
        faults.extend(_unknown_service_faults(document, upstream))
        faults.extend(_failure_domain_faults(domain_by_address, upstream))
    return tuple(faults)


def service_faults(service: Service) -> Iterator[Fault]:
    """Check one service on its own."""
    path = service_path(service.name)
    yield from _name_faults(path, service.name)
    yield from _number_faults(path, service)
    yield from _duration_faults(
        f'{path}.deadline', service.deadline, _MILLISECOND, _HOUR
    )
    yield from _probe_budget_faults(f'{path}.probe_budget', service)
    yield from _objective_faults(f'{path}.objective', service)
    if service.older_balancer is not None:
        yield from _older_balancer_faults(
            f'{path}.older_balancer', service.older_balancer
        )


def _number_faults(path: str, service: Service) -> Iterator[Fault]:
    yield from _range_faults(f'{path}.homes', service.homes, 1, 64)
    yield from _range_faults(f'{path}.depth', service.depth, 0, 64)
    yield from _range_faults(f'{path}.queue', service.queue, 0, 65_536)
    yield from _share_faults(f'{path}.retry_share', service.retry_share)
    yield from _share_faults(f'{path}.max_eject_share', service.max_eject_share)


def upstream_faults(upstream: Upstream) -> Iterator[Fault]:
    """Check one upstream on its own."""
    path = upstream_path(upstream.key)
    yield from _name_faults(path, upstream.name)
    yield from _address_faults(f'{path}.address', upstream.address)
    yield from _name_faults(f'{path}.failure_domain', upstream.failure_domain)
    yield from _range_faults(f'{path}.slots', upstream.slots, 1, 1024)


def service_path(name: str) -> str:
    """Return the path of a service in an operators' document."""
    return f'services.{_shorten(name)}'


def upstream_path(key: str) -> str:
    """Return the path of an upstream in an operators' document."""
    service, _, name = key.partition('/')
    return f'{service_path(service)}.upstreams.{_shorten(name)}'


def _edit_list_faults(change: Change) -> Iterator[Fault]:
    if not change.edits:
        yield Fault('edits', 'at least one edit', 'none', 'no_edits')
    if len(change.edits) > MAX_EDITS:
        found = str(len(change.edits))
        yield Fault('edits', f'at most {MAX_EDITS}', found, 'too_many_edits')
    seen: set[tuple[str, str]] = set()
    for edit in change.edits:
        target = (edit.kind, edit.key)
        if target in seen:
            yield Fault(_shorten(edit.key), 'one edit', 'two', 'duplicate_edit')
        seen.add(target)
        if isinstance(edit, Put):
            yield from _key_faults(edit)


def _key_faults(edit: Put) -> Iterator[Fault]:
    match edit.value:
        case Service(name=name):
            value_key = ('service', name)
        case Upstream() as upstream:
            value_key = ('upstream', upstream.key)
    if (edit.kind, edit.key) != value_key:
        found = f'{edit.kind} {_shorten(edit.key)}'
        expected = f'{value_key[0]} {_shorten(value_key[1])}'
        yield Fault(_shorten(edit.key), expected, found, 'key_mismatch')


def _edit_faults(
    document: Document,
    next_document: Document,
    change: Change,
) -> Iterator[Fault]:
    put_upstreams = []
    for edit in change.edits:
        match edit:
            case Put(value=Service() as service):
                yield from service_faults(service)
            case Put(value=Upstream() as upstream):
                put_upstreams.append(upstream)
                yield from upstream_faults(upstream)
                yield from _unknown_service_faults(next_document, upstream)
            case _:
                yield from _delete_faults(document, next_document, edit)
    yield from _shared_address_faults(next_document, put_upstreams)


def _delete_faults(
    document: Document,
    next_document: Document,
    edit: Any,
) -> Iterator[Fault]:
    if edit.kind == 'upstream':
        if edit.key not in document.upstreams:
            path = upstream_path(edit.key)
            yield Fault(path, 'a known upstream', 'none', 'upstream_unknown')
        return
    path = service_path(edit.key)
    if edit.key not in document.services:
        yield Fault(path, 'a known service', 'none', 'service_unknown')
    remaining = len(next_document.table.group(edit.key))
    if remaining:
        yield Fault(path, 'no upstreams', str(remaining), 'service_in_use')


def _shared_address_faults(
    next_document: Document,
    put_upstreams: Iterable[Upstream],
) -> Iterator[Fault]:
    for upstream in put_upstreams:
        for other in next_document.table.at_address(upstream.address):
            yield from _failure_domain_faults(
                {other.address: other.failure_domain}, upstream
            )


def _failure_domain_faults(
    domain_by_address: dict[str, str],
    upstream: Upstream,
) -> Iterator[Fault]:
    """Check for an address in two failure domains.

    The domain of an address that is not in the mapping yet is added to it.
    """
    domain = domain_by_address.setdefault(
        upstream.address, upstream.failure_domain
    )
    if domain != upstream.failure_domain:
        yield Fault(
            f'{upstream_path(upstream.key)}.failure_domain',
            f'{_shorten(domain)}, '
            f'where {_shorten(upstream.address)} already is',
            _shorten(upstream.failure_domain),
            'address_in_two_failure_domains',
        )


def _unknown_service_faults(
    document: Document, upstream: Upstream
) -> Iterator[Fault]:
    if upstream.service not in document.services:
        yield Fault(
            f'{upstream_path(upstream.key)}.service',
            'a service of the document',
            _shorten(upstream.service),
            'service_unknown',
        )


def _probe_budget_faults(path: str, service: Service) -> Iterator[Fault]:
    budget = service.probe_budget
    for name, amount, limit in (
        ('per_second', budget.per_second, 100_000),
        ('bytes_per_second', budget.bytes_per_second, 1_000_000_000),
    ):
        if not 0 < amount <= limit:
            expected = f'a number above 0, at most {limit}'
            yield Fault(
                f'{path}.{name}', expected, str(amount), 'budget_out_of_range'
            )


def _objective_faults(path: str, service: Service) -> Iterator[Fault]:
    objective = service.objective
    yield from _duration_faults(
        f'{path}.within', objective.within, _MILLISECOND, _HOUR
    )
    yield from _duration_faults(
        f'{path}.window', objective.window, _HOUR, _YEAR
    )
    # A share of 1 leaves no error budget, so no burn rate can be computed.
    if not 0 < objective.share < 1:
        yield Fault(
            f'{path}.share',
            'a number above 0 and below 1',
            str(objective.share),
            'share_out_of_range',
        )


def _older_balancer_faults(
    path: str, balancer: OlderBalancer
) -> Iterator[Fault]:
    yield from _address_faults(f'{path}.address', balancer.address)
    yield from _share_faults(f'{path}.share', balancer.share)


def _name_faults(path: str, name: str) -> Iterator[Fault]:
    if not is_name(name):
        expected = '1 to 64 of A-Z a-z 0-9 . _ ~ -, a letter or digit first'
        yield Fault(path, expected, repr(_shorten(name)), 'name_invalid')


def is_name(text: str) -> bool:
    """Return whether ``text`` is a valid name.

    A valid name needs no escaping in a URL path.
    """
    return _NAME.fullmatch(text) is not None


def _address_faults(path: str, address: str) -> Iterator[Fault]:
    if not is_address(address):
        expected = 'IP:port, such as 127.0.0.1:9001'
        yield Fault(path, expected, _shorten(address), 'address_invalid')


def is_address(text: str) -> bool:
    """Return whether ``text`` is IP:port in its canonical form.

    >>> [is_address(text) for text in ('127.0.0.1:80', '[::1]:80', 'host:80')]
    [True, True, False]
    """
    match = _ADDRESS.fullmatch(text)
    if match is None or int(match.group(3)) > _MAX_PORT:
        return False
    ipv6, ipv4, _ = match.groups()
    try:
        host = ipaddress.ip_address(ipv6 or ipv4)
    except ValueError:
        return False
    return str(host) == (ipv6 or ipv4) and (host.version == 6) == bool(ipv6)


def _range_faults(
    path: str, number: int, low: int, high: int
) -> Iterator[Fault]:
    if not low <= number <= high:
        expected = f'a number from {low} to {high}'
        yield Fault(path, expected, str(number), 'out_of_range')


def _share_faults(path: str, share: float) -> Iterator[Fault]:
    if math.isnan(share) or not 0 <= share <= 1:
        expected = 'a number from 0 to 1'
        yield Fault(path, expected, str(share), 'share_out_of_range')


def _duration_faults(
    path: str,
    duration: timedelta,
    low: timedelta,
    high: timedelta,
) -> Iterator[Fault]:
    if not low <= duration <= high:
        expected = f'{format_duration(low)} to {format_duration(high)}'
        found = format_duration(duration)
        yield Fault(path, expected, found, 'duration_out_of_range')


def _shorten(text: str) -> str:
    return text[:_MAX_FOUND_CHARACTERS]
