"""Guards against forms that lose what was typed or hide what is wrong."""

from datetime import timedelta

import pytest

from crocusproxy.config.model import OlderBalancer, Service, Upstream
from crocusproxy.console.forms import (
    CheckedForm,
    check_form,
    form_of,
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


def posted(form):
    texts = {'name': form.name, 'base': str(form.base), **form.texts}
    for number, row in enumerate(form.rows):
        for column in ('name', 'address', 'failure_domain', 'slots'):
            texts[f'upstreams.{number}.{column}'] = getattr(row, column)
    return texts


def test_an_untouched_form_gives_back_the_same_service():
    form = read_form(posted(form_of(SERVICE, UPSTREAMS, 7)))
    assert form.base == 7
    assert check_form(form) == CheckedForm(SERVICE, UPSTREAMS)


def test_an_emptied_row_removes_its_upstream():
    texts = posted(form_of(SERVICE, UPSTREAMS, 7))
    for column in ('name', 'address', 'failure_domain', 'slots'):
        texts[f'upstreams.0.{column}'] = ' '
    assert check_form(read_form(texts)).upstreams == UPSTREAMS[1:]


def test_every_fault_is_at_its_field_and_the_text_is_kept():
    texts = posted(form_of(SERVICE, UPSTREAMS, 7))
    texts |= {'deadline': '2 parsecs', 'upstreams.1.slots': 'many'}
    form = read_form(texts)
    with pytest.raises(InvalidDocumentError) as caught:
        check_form(form)
    paths = {fault.path for fault in caught.value.faults}
    assert paths == {'deadline', 'upstreams.1.slots'}
    assert form.text('deadline') == '2 parsecs'
    assert form.rows[1].slots == 'many'


def test_a_form_without_its_generation_is_refused():
    with pytest.raises(InvalidDocumentError):
        read_form({'name': 'redaccion', 'base': '-1'})


def test_a_long_list_of_upstreams_is_kept_whole():
    many = tuple(
        Upstream(f'u{number}', 'redaccion', f'127.0.0.1:{number}', 'fd', 1)
        for number in range(1, 1200)
    )
    form = read_form(posted(form_of(SERVICE, many, 7)))
    assert check_form(form).upstreams == many


def test_a_name_given_twice_is_a_fault():
    texts = posted(form_of(SERVICE, UPSTREAMS, 7))
    texts['upstreams.1.name'] = 'red-1'
    with pytest.raises(InvalidDocumentError) as caught:
        check_form(read_form(texts))
    (fault,) = caught.value.faults
    assert (fault.path, fault.code) == (
        'upstreams.1.name',
        'duplicate_upstream',
    )
