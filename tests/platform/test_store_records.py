"""Guards against listings that one unreadable item makes unreadable."""

import json

import pytest

from crocusproxy.platform.store_records import decode_listing
from crocusproxy.protocol.codec import MalformedMessageError

PROPER = {'Key': 'i-1', 'Value': 'YQ==', 'Offset': 4}


def page_of(*items, has_more=False):
    page = {'items': items, 'HasMore': has_more, 'End': 9}
    return json.dumps(page).encode()


@pytest.mark.parametrize(
    'item',
    [
        None,
        {},
        {**PROPER, 'Key': 7},
        {**PROPER, 'Key': '\udcff'},
        {**PROPER, 'Value': None},
        {**PROPER, 'Value': 'YQ'},
        {**PROPER, 'Offset': 'first'},
    ],
)
def test_unusable_item_hides_no_other(item):
    page = decode_listing(page_of(item, PROPER, item, has_more=True))
    assert [record.key for record in page.records] == ['i-1']
    assert page.next_key == 'i-1'
    assert page.unusable_count == 2


def test_key_that_is_no_text_hides_no_other():
    """A store may copy the bytes of a key into its response."""
    body = page_of({**PROPER, 'Key': 'odd'}, PROPER)
    page = decode_listing(body.replace(b'odd', b'o\xff'))
    assert [record.key for record in page.records] == ['o\ufffd', 'i-1']


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'[' * 100_000,
        b'{"items": 1, "HasMore": false, "End": 9}',
        page_of({}, has_more=True),
    ],
)
def test_unusable_page_is_malformed(body):
    """A reader then lists again; it must neither end nor read in a loop."""
    with pytest.raises(MalformedMessageError):
        decode_listing(body)
