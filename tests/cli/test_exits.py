"""Guards against errors without a verdict that exit as a rejection."""

import pytest

from crocusproxy.cli.exits import ExitCode, exit_code_for
from crocusproxy.errors import AppendUnknownError
from crocusproxy.protocol.codec import MalformedMessageError
from crocusproxy.protocol.document_feed import RulesUnknownError


@pytest.mark.parametrize(
    ('error', 'code'),
    [
        (RulesUnknownError('newer rules'), ExitCode.not_reachable),
        (MalformedMessageError('no document'), ExitCode.not_reachable),
        (AppendUnknownError('lost'), ExitCode.not_known_yet),
    ],
)
def test_an_error_without_a_verdict_is_not_reported_as_rejected(error, code):
    assert exit_code_for(error) == code
