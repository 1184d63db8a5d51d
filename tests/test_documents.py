"""Guards against invalid documents that pass or fail without an explanation."""

from datetime import timedelta

import pytest

from crocusproxy.config.model import Service
from crocusproxy.documents import (
    MAX_BYTES,
    check_document,
    parse_yaml,
    read_document,
)
from crocusproxy.errors import InvalidDocumentError


def faults_of(text):
    with pytest.raises(InvalidDocumentError) as caught:
        check_document(Service, parse_yaml(text, 'test'), 'test')
    return {(fault.path, fault.code) for fault in caught.value.faults}


@pytest.mark.parametrize(
    ('text', 'path', 'code'),
    [
        ('name: a\nname: b\n', 'line 2', 'duplicate_key'),
        ('a: &x [1]\nb: *x\n', 'line 2', 'yaml_alias'),
        ('[' * 40 + ']' * 40, 'line 1', 'yaml_too_deep'),
        ('name: [', 'line 1', 'yaml_syntax'),
        ('name: a\nhome: 2\n', 'home', 'unknown_key'),
        ('homes: 2\n', 'name', 'missing_key'),
        ('name: a\ndeadline: 2 parsecs\n', 'deadline', 'value_error'),
        ('name: a\ndeadline: 2\n', 'deadline', 'value_error'),
    ],
)
def test_each_fault_names_its_path_and_code(text, path, code):
    assert (path, code) in faults_of(text)


def test_a_document_over_the_size_limit_is_not_parsed():
    assert ('', 'document_too_large') in faults_of('#' * (MAX_BYTES + 1))


def test_all_faults_are_reported_at_once():
    assert len(faults_of('name: a\nhome: 2\ndeadline: 2\nqueue: many\n')) == 3


def test_an_unreadable_file_is_a_fault(tmp_path):
    with pytest.raises(InvalidDocumentError) as caught:
        read_document(Service, tmp_path / 'missing.yaml')
    assert caught.value.faults[0].code == 'file_unreadable'


def test_durations_are_read_with_their_unit():
    service = check_document(Service, {'name': 'a', 'deadline': '1.5s'}, 't')
    assert service.deadline == timedelta(seconds=1.5)
