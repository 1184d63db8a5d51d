"""Guards against invalid configurations that are accepted."""

from pathlib import Path

import pytest

from crocusproxy.config.change import Delete, Put, apply_edits
from crocusproxy.config.model import Document, Upstream
from crocusproxy.config.operator_document import (
    format_operator_text,
    parse_operator_text,
    read_operator_file,
)
from crocusproxy.config.validation import check_change, is_address
from crocusproxy.documents import MAX_BYTES
from crocusproxy.errors import InvalidDocumentError
from tests.config.samples import change, put_service, put_upstream

EXAMPLE = Path('examples/redaccion.yaml')
TEXT = EXAMPLE.read_text()
SHARE = 'share_out_of_range'
BUDGET = 'budget_out_of_range'


def faults_of(text):
    with pytest.raises(InvalidDocumentError) as caught:
        parse_operator_text(text, 'test')
    return [(fault.path, fault.code) for fault in caught.value.faults]


def test_the_example_is_valid_and_unchanged_by_formatting_and_parsing():
    document = read_operator_file(EXAMPLE)
    assert len(document.upstreams_of('redaccion')) == 4
    assert parse_operator_text(format_operator_text(document), 't') == document


@pytest.mark.parametrize(
    ('old', 'new', 'path', 'code'),
    [
        ('homes: 3', 'home: 3', 'home', 'unknown_key'),
        ('homes: 3', 'homes: 3\n    homes: 2', 'line 11', 'duplicate_key'),
        ('homes: 3', 'name: other', 'name', 'unknown_key'),
        ('homes: 3', 'homes: 0', 'homes', 'out_of_range'),
        ('homes: 3', 'homes: 65', 'homes', 'out_of_range'),
        ('homes: 3', 'homes: many', 'homes', 'int_parsing'),
        ('queue: 256', 'queue: -1', 'queue', 'out_of_range'),
        ('depth: 2', 'depth: 65', 'depth', 'out_of_range'),
        ('deadline: 2s', 'deadline: 2', 'deadline', 'value_error'),
        ('deadline: 2s', 'deadline: 2 hours', 'deadline', 'value_error'),
        ('deadline: 2s', 'deadline: 0s', 'deadline', 'duration_out_of_range'),
        (
            'window: 28d',
            'window: 1min',
            'objective.window',
            'duration_out_of_range',
        ),
        ('retry_share: 0.02', 'retry_share: 1.01', 'retry_share', SHARE),
        (
            'max_eject_share: 0.5',
            'max_eject_share: .nan',
            'max_eject_share',
            SHARE,
        ),
        ('share: 0.99', 'share: 1', 'objective.share', SHARE),
        ('per_second: 2', 'per_second: 0', 'probe_budget.per_second', BUDGET),
        (
            'per_second: 2',
            'per_second: .inf',
            'probe_budget.per_second',
            BUDGET,
        ),
        (
            'bytes_per_second: 4096',
            'bytes_per_second: -1',
            'probe_budget.bytes_per_second',
            BUDGET,
        ),
    ],
)
def test_a_fault_of_a_service_is_found_with_its_path(old, new, path, code):
    assert old in TEXT
    prefix = '' if path.startswith('line') else 'services.redaccion.'
    assert faults_of(TEXT.replace(old, new, 1)) == [(f'{prefix}{path}', code)]


UPSTREAM = 'services.redaccion.upstreams.redaccion-1'


@pytest.mark.parametrize(
    ('old', 'new', 'faults'),
    [
        (
            '127.0.0.1:9101',
            'redaccion.example:9101',
            [(f'{UPSTREAM}.address', 'address_invalid')],
        ),
        ('redaccion-4:', 'redaccion-1:', [('line 35', 'duplicate_key')]),
        (
            'redaccion-1:',
            'a/b:',
            [('services.redaccion.upstreams.a/b', 'name_invalid')],
        ),
        ('slots: 2', 'slots: 0', [(f'{UPSTREAM}.slots', 'out_of_range')]),
        (
            '127.0.0.1:9104',
            '127.0.0.1:9101',
            [
                (
                    'services.redaccion.upstreams.redaccion-4.failure_domain',
                    'address_in_two_failure_domains',
                )
            ],
        ),
        (
            "address: '127.0.0.1:9101', ",
            '',
            [(f'{UPSTREAM}.address', 'missing_key')],
        ),
        ('redaccion:', '1:', [('services', 'key_not_text')]),
        ('redaccion:', 'r?d:', [('services.r?d', 'name_invalid')]),
        (
            'retry_share',
            'older_balancer: {address: "127.0.0.1:1", share: 0.5,'
            ' crocusproxy_share: 0.6}\n    retry_share',
            [('services.redaccion.older_balancer', 'shares_do_not_add_up')],
        ),
        (
            'retry_share',
            'older_balancer: {address: "127.0.0.1:1", share: -1}\n'
            '    retry_share',
            [
                (
                    'services.redaccion.older_balancer.share',
                    SHARE,
                )
            ],
        ),
        (
            'services:',
            'service:',
            [('service', 'unknown_key'), ('services', 'missing_key')],
        ),
    ],
)
def test_a_fault_of_an_upstream_or_name_is_found(old, new, faults):
    assert old in TEXT
    assert faults_of(TEXT.replace(old, new, 1)) == faults


@pytest.mark.parametrize(
    ('text', 'code'),
    [
        ('services: ' + '[' * 5000, 'yaml_too_deep'),
        ('services: {a: ' + 'x' * MAX_BYTES + '}', 'document_too_large'),
        ('services: [1]', 'not_a_mapping'),
        ('- 1', 'not_a_mapping'),
        ('', 'not_a_mapping'),
        ('services: {a: {upstreams: {b: 1}}}', 'not_a_mapping'),
        ('services: {? [1] : 2}', 'yaml_syntax'),
    ],
)
def test_text_of_another_structure_is_reported_as_a_fault(text, code):
    assert code in {code for _, code in faults_of(text)}


def test_a_file_truncated_within_a_character_is_reported_as_too_large(
    tmp_path,
):
    file = tmp_path / 'large.yaml'
    file.write_text('# ' + 'ñ' * MAX_BYTES, encoding='utf-8')
    with pytest.raises(InvalidDocumentError) as caught:
        read_operator_file(file)
    assert caught.value.faults[0].code == 'document_too_large'


BASE = apply_edits(
    Document(),
    [put_service('s'), put_upstream('s', 'a'), put_upstream('s', 'b', 9001)],
    1,
)


@pytest.mark.parametrize(
    ('edits', 'codes'),
    [
        ([], {'no_edits'}),
        ([put_upstream('t', 'a')], {'service_unknown'}),
        (
            [put_upstream('s', 'c', domain='fd1')],
            {'address_in_two_failure_domains'},
        ),
        ([Delete('service', 's')], {'service_in_use'}),
        ([Delete('service', 't')], {'service_unknown'}),
        ([Delete('upstream', 's/c')], {'upstream_unknown'}),
        (
            [Delete('upstream', 's/a'), put_upstream('s', 'a')],
            {'duplicate_edit'},
        ),
        (
            [Put('upstream', 's/a', Upstream('b', 's', '127.0.0.1:1', 'f', 1))],
            {'key_mismatch'},
        ),
        ([Put('upstream', 's', put_service('s').value)], {'key_mismatch'}),
        (
            [put_service('a/b'), put_upstream('a/b', 'c')],
            {'name_invalid'},
        ),
        # All upstreams of a server may move to another failure domain at once.
        ([put_upstream('s', 'a', domain='fd1')], set()),
        (
            [Delete('upstream', 's/a'), put_upstream('s', 'c', domain='fd1')],
            set(),
        ),
        (
            [
                Delete('service', 's'),
                Delete('upstream', 's/a'),
                Delete('upstream', 's/b'),
            ],
            set(),
        ),
    ],
)
def test_a_change_is_checked_against_the_current_document(edits, codes):
    _, faults = check_change(BASE, change('x', 1, *edits))
    assert {fault.code for fault in faults} == codes


@pytest.mark.parametrize(
    'text',
    (
        '127.0.0.1 127.0.0.1:0 127.0.0.1:65536 127.0.0.1:080 127.0.0.01:80 '
        '::1:80 [127.0.0.1]:80 [0::1]:80 127.0.0.1:８０ :80 127.0.0.1:'
    ).split(),
)
def test_only_the_canonical_form_of_an_address_is_accepted(text):
    # Two spellings of one address would hide its reuse.
    assert not is_address(text)
