"""Checks for routes, parts of splits and services that get no requests."""

from collections.abc import Iterator

from ..routes.model import Route, RouteConfig
from ..routes.table import RouteTable
from .findings import Finding, error, warning
from .names import repeated_names


def matching_findings(config: RouteConfig) -> Iterator[Finding]:
    """Yield entries that never match and names that are used wrongly."""
    route_names = (route.name for route in config.routes)
    service_names = [service.name for service in config.services]
    yield from repeated_names('routes', route_names)
    yield from repeated_names('services', service_names)
    yield from _unmatched_routes(config)
    for index, route in enumerate(config.routes):
        yield from _part_findings(index, route, frozenset(service_names))
    yield from _unused_services(config)


def _unmatched_routes(config: RouteConfig) -> Iterator[Finding]:
    table = RouteTable(config)
    for index, route in enumerate(config.routes):
        match = table.find(route.host, route.prefix)
        # Routes without a difference are told apart by identity.
        if match is route:
            continue
        if match is None or not _same_key(match, route):
            yield _unmatchable(index, route)
        else:
            yield warning(
                'route_hidden',
                f'route {match.name!r} has the same host and prefix '
                'and gets all requests',
                'routes',
                index,
            )


def _same_key(one: Route, other: Route) -> bool:
    return (one.host.lower(), one.prefix) == (other.host.lower(), other.prefix)


def _unmatchable(index: int, route: Route) -> Finding:
    if _has_no_port(route.host):
        return error(
            'prefix_never_matches',
            f'prefix {route.prefix!r} never matches: '
            'it needs a slash at its end and no query',
            'routes',
            index,
            'prefix',
        )
    return error(
        'host_never_matches',
        f'host {route.host!r} never matches: remove the port',
        'routes',
        index,
        'host',
    )


def _has_no_port(host: str) -> bool:
    name, separator, port = host.rpartition(':')
    return not (name and separator and port.isdigit())


def _part_findings(
    index: int, route: Route, services: frozenset[str]
) -> Iterator[Finding]:
    has_weight = any(part.weight > 0 for part in route.parts)
    for number, part in enumerate(route.parts):
        place = ('routes', index, 'parts', number)
        if part.service not in services:
            yield error(
                'route_service_unknown',
                f'there is no service {part.service!r}',
                *place,
                'service',
            )
        if part.weight == 0 and has_weight:
            yield warning(
                'part_without_weight',
                f'service {part.service!r} gets no requests of this route',
                *place,
                'weight',
            )


def _unused_services(config: RouteConfig) -> Iterator[Finding]:
    used = {part.service for route in config.routes for part in route.parts}
    for index, service in enumerate(config.services):
        if service.name not in used:
            yield warning(
                'service_unused',
                f'no route uses service {service.name!r}',
                'services',
                index,
            )
