"""Guards against findings that name the wrong place of a document."""

import json

import pytest

from crocusproxy.checks.config import check_config
from crocusproxy.checks.findings import warning
from crocusproxy.platform.document_check import (
    ReadableDocument,
    UnreadableDocument,
    locate,
    read_config,
)

from .test_wire import CONFIG

TEXT = json.dumps(CONFIG, indent='\t')


def line_of(text, part):
    return text[: text.index(part)].count('\n') + 1


def located(text, *steps):
    (finding,) = locate(read_config(text), [warning('c', 'm', *steps)])
    return finding.path, finding.line


@pytest.mark.parametrize(
    ('steps', 'path', 'part'),
    [
        (('version',), 'Version', '"Version"'),
        (('routes', 1, 'timeout'), 'Routes.1.TimeoutMs', '500'),
        (
            ('routes', 1, 'parts', 1, 'weight'),
            'Routes.1.TrafficSplit.1.Weight',
            '10\n',
        ),
        (
            ('routes', 0, 'parts', 0, 'service'),
            'Routes.0.Service',
            '"Service": "s1"',
        ),
        # A field that the document lacks is on the line of its object.
        (
            ('services', 0, 'warm_up'),
            'Services.0.WarmupS',
            '{\n\t\t\t"Name": "s1"',
        ),
        (('limits', 'body_bytes'), 'Limits.MaxBodyBytes', '"MaxBodyBytes"'),
    ],
)
def test_path_and_line_are_those_of_the_document(steps, path, part):
    assert located(TEXT, *steps) == (path, line_of(TEXT, part))


def faults(text):
    document = read_config(text)
    assert isinstance(document, UnreadableDocument)
    return [(one.code, one.path, one.line) for one in document.findings]


def test_all_faults_of_the_form_are_listed():
    text = '{"Version": "1",\n"Routes": [],\n"Services": [{\n"Name": 1}]}'
    assert faults(text) == [
        ('malformed_value', 'Services.0.Name', 4),
        ('missing_key', 'Services.0.HealthCheckPath', 3),
        ('missing_key', 'Limits', 1),
    ]


@pytest.mark.parametrize(
    ('old', 'new', 'path'),
    [
        ('"0000001c"', '"x"', 'Version'),
        # These have the right type, but no duration can hold them.
        ('600', '1e300', 'Routes.0.TimeoutMs'),
        ('600', 'NaN', 'Routes.0.TimeoutMs'),
    ],
)
def test_a_value_that_cannot_be_converted_is_a_fault(old, new, path):
    text = TEXT.replace(old, new)
    assert faults(text) == [('malformed_value', path, line_of(text, new))]


def test_text_that_is_not_json_has_a_line():
    assert faults('{\n"Version" 1}') == [('json_invalid', '', 2)]
    assert faults('[' * 100_000)[0][0] == 'json_invalid'


def test_a_malformed_key_is_not_shown():
    tenants = [{'ApiKeys': ['secret-1']}, {'Name': 'a', 'ApiKeys': 'secret-2'}]
    document = read_config(json.dumps({**CONFIG, 'Tenants': tenants}))
    assert isinstance(document, UnreadableDocument)
    assert 'secret' not in repr(document.findings)


def test_findings_are_in_the_order_of_the_document():
    document = read_config(TEXT)
    assert isinstance(document, ReadableDocument)
    found = locate(document, check_config(document.config))
    assert [(one.code, one.path) for one in found] == [
        ('route_service_unknown', 'Routes.1.TrafficSplit.1.Service')
    ]
