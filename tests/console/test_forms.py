"""Guards against forms that lose inputs or hide faults."""

from datetime import timedelta

import pytest

from crocusproxy.config.model import OlderBalancer, Service, Upstream
from crocusproxy.console.forms import (
    CheckedForm,
    check_form,
    form_from_service,
    read_form,
)
from crocusproxy.errors import InvalidDocumentError

SERVICE = Service(
    'redaccion',
    deadline=timedelta(milliseconds=1500),
    older_balancer=OlderBalancer('127.0.0.1:9000', 0.25),
)
UPSTREAMS = (
    Upstream('red-1', 'redaccion', '127.0.0.1:9001', 'mza-centro', 2),
    Upstream('red-2', 'redaccion', '127.0.0.1:9002', 'sjuan-norte', 2),
)


def posted_fields(form):
    texts = {'name': form.name, 'base': str(form.base), **form.texts}
    for number, row in enumerate(form.rows):
        for column in ('name', 'address', 'failure_domain', 'slots'):
            texts[f'upstreams.{number}.{column}'] = getattr(row, column)
    return texts


def test_unchanged_form_yields_the_same_service():
    form = read_form(posted_fields(form_from_service(SERVICE, UPSTREAMS, 7)))
    assert form.base == 7
    assert check_form(form) == CheckedForm(SERVICE, UPSTREAMS)


def test_cleared_row_removes_its_upstream():
    texts = posted_fields(form_from_service(SERVICE, UPSTREAMS, 7))
    for column in ('name', 'address', 'failure_domain', 'slots'):
        texts[f'upstreams.0.{column}'] = ' '
    assert check_form(read_form(texts)).upstreams == UPSTREAMS[1:]


def test_faults_are_at_their_fields_and_inputs_are_kept():
    texts = posted_fields(form_from_service(SERVICE, UPSTREAMS, 7))
    texts |= {'deadline': '2 parsecs', 'upstreams.1.slots': 'many'}
    form = read_form(texts)
    with pytest.raises(InvalidDocumentError) as caught:
        check_form(form)
    paths = {fault.path for fault in caught.value.faults}
    assert paths == {'deadline', 'upstreams.1.slots'}
    assert form.text('deadline') == '2 parsecs'
    assert form.rows[1].slots == 'many'


def test_form_with_an_invalid_generation_is_refused():
    with pytest.raises(InvalidDocumentError):
        read_form({'name': 'redaccion', 'base': '-1'})


def test_long_list_of_upstreams_is_complete():
    many_upstreams = tuple(
        Upstream(f'u{number}', 'redaccion', f'127.0.0.1:{number}', 'fd', 1)
        for number in range(1, 1200)
    )
    form = read_form(
        posted_fields(form_from_service(SERVICE, many_upstreams, 7))
    )
    assert check_form(form).upstreams == many_upstreams


def test_duplicate_upstream_name_is_a_fault():
    texts = posted_fields(form_from_service(SERVICE, UPSTREAMS, 7))
    texts['upstreams.1.name'] = 'red-1'
    with pytest.raises(InvalidDocumentError) as caught:
        check_form(read_form(texts))
    (fault,) = caught.value.faults
    assert (fault.path, fault.code) == (
        'upstreams.1.name',
        'duplicate_upstream',
    )
