"""Guards against faults of a configuration that no check finds."""

from dataclasses import replace
from datetime import timedelta

import pytest

from crocusproxy.checks.config import check_config, check_version
from crocusproxy.checks.findings import Severity
from crocusproxy.routes.model import (
    CallerLimits,
    ClientAccount,
    Route,
    RouteConfig,
    ServiceSettings,
    WeightedService,
)

ROUTE = Route(
    name='r-1',
    host='a.example',
    prefix='/x/',
    idempotent=True,
    timeout=timedelta(milliseconds=500),
    target_latency=timedelta(milliseconds=250),
    attempts=2,
    priority=1,
    parts=(WeightedService('s1', 1),),
)
SERVICE = ServiceSettings('s1', '/health', 10)
ACCOUNT = ClientAccount('radio', ('d1',), rate=10, burst=10)
CONFIG = RouteConfig(2, (ROUTE,), (SERVICE,), accounts=(ACCOUNT,))
SECOND = timedelta(seconds=1)
ERROR, WARNING = Severity.error, Severity.warning


def changed_route(**fields):
    return replace(CONFIG, routes=(replace(ROUTE, **fields),))


def second_route(**fields):
    return replace(CONFIG, routes=(ROUTE, replace(ROUTE, **fields)))


def changed_service(**fields):
    return replace(CONFIG, services=(replace(SERVICE, **fields),))


def changed_account(**fields):
    return replace(CONFIG, accounts=(replace(ACCOUNT, **fields),))


def with_parts(*parts):
    return changed_route(parts=tuple(WeightedService(*one) for one in parts))


@pytest.mark.parametrize(
    ('config', 'severity', 'code', 'steps'),
    [
        # The later of two routes with the same key is the one that is found.
        (
            second_route(name='r-2', host='A.example'),
            WARNING,
            'route_hidden',
            ('routes', 0),
        ),
        (
            changed_route(prefix='/x'),
            ERROR,
            'prefix_never_matches',
            ('routes', 0, 'prefix'),
        ),
        (
            changed_route(host='a.example:80'),
            ERROR,
            'host_never_matches',
            ('routes', 0, 'host'),
        ),
        (
            second_route(prefix='/y/'),
            ERROR,
            'name_repeated',
            ('routes', 1, 'name'),
        ),
        (
            replace(CONFIG, services=(SERVICE, SERVICE)),
            ERROR,
            'name_repeated',
            ('services', 1, 'name'),
        ),
        (
            with_parts(('s1', 1), ('s2', 1)),
            ERROR,
            'route_service_unknown',
            ('routes', 0, 'parts', 1, 'service'),
        ),
        (
            with_parts(('s1', 1), ('s1', 0)),
            WARNING,
            'part_without_weight',
            ('routes', 0, 'parts', 1, 'weight'),
        ),
        (
            with_parts(('s1', 2), ('s1', -1)),
            ERROR,
            'value_out_of_range',
            ('routes', 0, 'parts', 1, 'weight'),
        ),
        (
            replace(CONFIG, services=(SERVICE, replace(SERVICE, name='s2'))),
            WARNING,
            'service_unused',
            ('services', 1),
        ),
        (
            changed_route(target_latency=SECOND),
            WARNING,
            'target_above_timeout',
            ('routes', 0, 'target_latency'),
        ),
        (
            changed_route(attempts=3),
            WARNING,
            'attempts_above_timeout',
            ('routes', 0, 'attempts'),
        ),
        (
            changed_route(attempts=0),
            ERROR,
            'value_out_of_range',
            ('routes', 0, 'attempts'),
        ),
        (
            changed_route(target_latency=timedelta()),
            ERROR,
            'value_out_of_range',
            ('routes', 0, 'target_latency'),
        ),
        (
            changed_service(warm_up=SECOND),
            WARNING,
            'warm_up_without_rate',
            ('services', 0, 'warm_up'),
        ),
        (
            changed_service(warm_up_rate=5),
            WARNING,
            'warm_up_without_duration',
            ('services', 0, 'warm_up_rate'),
        ),
        (
            replace(CONFIG, limits=CallerLimits(body_bytes=0)),
            ERROR,
            'value_out_of_range',
            ('limits', 'body_bytes'),
        ),
        (
            replace(CONFIG, accounts=(ACCOUNT, replace(ACCOUNT, name='tv'))),
            ERROR,
            'key_of_several_accounts',
            ('accounts', 1, 'key_digests', 0),
        ),
        (
            replace(
                CONFIG,
                accounts=(ACCOUNT, replace(ACCOUNT, key_digests=('d2',))),
            ),
            ERROR,
            'name_repeated',
            ('accounts', 1, 'name'),
        ),
        (
            changed_account(key_digests=()),
            WARNING,
            'account_without_keys',
            ('accounts', 0),
        ),
        (
            changed_account(burst=0),
            WARNING,
            'burst_missing',
            ('accounts', 0, 'burst'),
        ),
        (
            changed_account(burst=9),
            WARNING,
            'burst_below_rate',
            ('accounts', 0, 'burst'),
        ),
        (
            changed_account(rate=0),
            WARNING,
            'burst_without_rate',
            ('accounts', 0, 'burst'),
        ),
    ],
)
def test_a_fault_is_found_once_and_at_its_place(config, severity, code, steps):
    (finding,) = check_config(config)
    assert (finding.severity, finding.code) == (severity, code)
    assert finding.place.steps == steps


@pytest.mark.parametrize(
    'config',
    [
        CONFIG,
        replace(CONFIG, accounts=None),
        second_route(name='r-2', host='b.example'),
        second_route(name='r-2', prefix='/x/y/'),
        # Weights that are all 0 are equal shares.
        with_parts(('s1', 0), ('s1', 0)),
        changed_service(warm_up=SECOND, warm_up_rate=5),
        changed_account(rate=0, burst=0),
        changed_account(key_digests=('d1', 'd1')),
    ],
)
def test_a_correct_configuration_has_no_findings(config):
    assert not check_config(config)


@pytest.mark.parametrize('version', [1, 2])
def test_a_version_that_instances_would_ignore_is_found(version):
    (finding,) = check_version(CONFIG, replace(CONFIG, version=version))
    assert (finding.severity, finding.code) == (ERROR, 'version_not_higher')
    assert not check_version(CONFIG, replace(CONFIG, version=3))
