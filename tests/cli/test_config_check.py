"""Guards against wrong exit codes of ``config check`` and shown keys."""

import json
from pathlib import Path

import pytest

from ..platform.test_wire import CONFIG

SERVICES = [{'Name': name, 'HealthCheckPath': '/'} for name in ('s1', 's2')]
TENANT = {'Name': 'radio', 'ApiKeys': ['secret-1'], 'RatePerS': 5, 'Burst': 9}
GOOD = {**CONFIG, 'Services': SERVICES, 'Tenants': [TENANT]}


@pytest.fixture
def check(crocusctl, tmp_path):
    """Write documents, check the first one and return code and output."""

    def command(*documents, flags=()):
        names = []
        for number, document in enumerate(documents):
            file = tmp_path / f'{number}.json'
            file.write_text(json.dumps(document, indent=1))
            names.append(str(file))
        against = ('--against', names[1]) if len(names) > 1 else ()
        return crocusctl('config', 'check', names[0], *against, *flags)

    return command


@pytest.mark.parametrize(
    ('changes', 'code', 'expected'),
    [
        ({}, 0, '0 error(s), 0 warning(s)'),
        ({'Tenants': [{'Name': 'a'}]}, 1, '[account_without_keys]'),
        ({'Services': SERVICES[:1]}, 2, '[route_service_unknown]'),
        ({'Routes': None}, 2, 'Routes: '),
    ],
)
def test_exit_codes_tell_errors_from_warnings(check, changes, code, expected):
    found_code, output = check({**GOOD, **changes})
    assert found_code == code
    assert expected in output


def test_json_has_code_path_and_line(check):
    code, output = check({**GOOD, 'Tenants': [{'Name': 'a'}]}, flags=['--json'])
    report = json.loads(output)
    (finding,) = report['findings']
    assert (code, finding['code']) == (1, 'account_without_keys')
    assert finding['path'] == 'Tenants.0'
    assert finding['line'] > 1
    assert report['differences'] is None


def test_differences_do_not_change_the_exit_code_and_hide_keys(check):
    tenant = {**TENANT, 'ApiKeys': ['secret-2', 'secret-3'], 'RatePerS': 6}
    newer = {**GOOD, 'Version': '0000001d', 'Tenants': [tenant]}
    code, output = check(newer, GOOD)
    assert code == 0
    assert '~ account radio: rate 5.0 -> 6.0, keys 1 -> 2 (+' in output
    code, as_json = check(newer, GOOD, flags=['--json'])
    (difference,) = json.loads(as_json)['differences']
    assert difference['change'] == 'changed'
    assert 'secret' not in output + as_json


def test_a_version_that_is_not_higher_is_an_error(check):
    code, output = check(GOOD, GOOD)
    assert code == 2
    assert 'Version: version 0000001c is not higher' in output


@pytest.mark.parametrize(
    ('share', 'code'), [('0.05', 0), ('0.3', 2), ('-0.1', 2)]
)
def test_hedging_beyond_the_retry_budget_is_an_error(
    check, tmp_path, share, code
):
    settings = tmp_path / 'entry.yaml'
    example = Path('examples/entry.yaml').read_text()
    settings.write_text(example.replace('share: 0.05', f'share: {share}'))
    found, output = check(GOOD, flags=['--settings', str(settings)])
    assert found == code
    assert ('[hedging_above_retry_budget]' in output) == bool(code)


def test_an_unreadable_file_is_wrong_input(check, crocusctl):
    assert crocusctl('config', 'check', 'missing.json')[0] == 2
    assert check(GOOD, {'Version': '1'})[0] == 2
