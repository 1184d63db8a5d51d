"""Checks for numbers out of range and limits that contradict each other."""

from collections.abc import Iterator
from datetime import timedelta

from ..durations import format_duration
from ..routes.model import CallerLimits, Route, RouteConfig, ServiceSettings
from .findings import Finding, error, warning

_ZERO = timedelta()


def limit_findings(config: RouteConfig) -> Iterator[Finding]:
    """Yield findings about the numbers of routes, services and callers."""
    for index, route in enumerate(config.routes):
        yield from _route_range_findings(index, route)
        yield from _latency_findings(index, route)
    for position, service in enumerate(config.services):
        yield from _warm_up_findings(position, service)
    yield from _caller_findings(config.limits)


def _route_range_findings(index: int, route: Route) -> Iterator[Finding]:
    for name, is_positive in (
        ('timeout', route.timeout > _ZERO),
        ('target_latency', route.target_latency > _ZERO),
        ('attempts', route.attempts > 0),
    ):
        if not is_positive:
            yield _not_positive('routes', index, name)
    for number, part in enumerate(route.parts):
        if part.weight < 0:
            yield error(
                'value_out_of_range',
                'the value must not be negative',
                'routes',
                index,
                'parts',
                number,
                'weight',
            )


def _latency_findings(index: int, route: Route) -> Iterator[Finding]:
    target, timeout = route.target_latency, route.timeout
    if min(target, timeout) <= _ZERO:
        return
    if target > timeout:
        yield warning(
            'target_above_timeout',
            f'target latency {format_duration(target)} is above the timeout '
            f'{format_duration(timeout)}',
            'routes',
            index,
            'target_latency',
        )
    elif route.attempts > timeout // target:
        yield warning(
            'attempts_above_timeout',
            f'{route.attempts} attempts of {format_duration(target)} each '
            f'take longer than the timeout {format_duration(timeout)}',
            'routes',
            index,
            'attempts',
        )


def _warm_up_findings(
    index: int, service: ServiceSettings
) -> Iterator[Finding]:
    has_duration = service.warm_up > _ZERO
    has_rate = service.warm_up_rate > 0
    if has_rate and not has_duration:
        yield warning(
            'warm_up_without_duration',
            'the warm-up rate has no effect after a start '
            'without a duration of the warm-up',
            'services',
            index,
            'warm_up_rate',
        )
    if has_duration and not has_rate:
        yield warning(
            'warm_up_without_rate',
            'cold upstreams are not limited without a warm-up rate',
            'services',
            index,
            'warm_up',
        )


def _caller_findings(limits: CallerLimits) -> Iterator[Finding]:
    for name, is_positive in (
        ('header_bytes', limits.header_bytes > 0),
        ('body_bytes', limits.body_bytes > 0),
        ('header_timeout', limits.header_timeout > _ZERO),
        ('idle_timeout', limits.idle_timeout > _ZERO),
    ):
        if not is_positive:
            yield _not_positive('limits', name)


def _not_positive(*steps: str | int) -> Finding:
    return error('value_out_of_range', 'the value must be above 0', *steps)
