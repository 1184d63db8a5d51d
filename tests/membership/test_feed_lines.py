"""Guards against feed messages that are lost or too large."""

import pytest

from crocusproxy.membership.feed_lines import (
    LineEncoder,
    decode_line,
    encode_line,
)
from crocusproxy.protocol.codec import MalformedMessageError
from crocusproxy.protocol.home_feed import FeedMessage, UpstreamChange
from crocusproxy.routes.model import RegisteredUpstream


def make_state(count):
    changes = tuple(
        UpstreamChange(
            f'i-{number:08x}',
            RegisteredUpstream(
                f'i-{number:08x}',
                's1',
                f'10.0.{number % 250}.{number // 250}:8080',
                'a',
                2,
                False,
                1_700_000_000_000 + number,
                number,
            ),
        )
        for number in range(count)
    )
    return FeedMessage(epoch=3, full=True, changes=changes)


@pytest.mark.parametrize('count', [0, 1, 5, 500])
def test_message_is_the_same_after_decoding(count):
    state = make_state(count)
    line = encode_line(state)
    assert line.count(b'\n') == 1
    assert decode_line(line) == state


def test_state_of_a_large_site_is_compressed():
    """It saturated the links of small instances, whose feeds then timed out."""
    state = make_state(3000)
    plain_bytes = 3000 * len(encode_line(make_state(1)))
    assert len(encode_line(state)) < plain_bytes / 4


def test_member_of_an_older_build_can_read_the_state():
    line = LineEncoder(compress=False).encode(make_state(500))
    assert line.startswith(b'{')


def test_same_message_is_encoded_once():
    encoder = LineEncoder()
    state = make_state(500)
    assert encoder.encode(state) is encoder.encode(state)


@pytest.mark.parametrize('line', [b'z\n', b'z!!\n', b'zAAAA\n', b'{"epoch":\n'])
def test_malformed_line_is_reported(line):
    with pytest.raises(MalformedMessageError):
        decode_line(line)
