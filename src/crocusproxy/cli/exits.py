"""Exit codes of the command line."""

import enum

from ..config.publisher import NoConfigurationError, NotKnownYetError
from ..errors import (
    AppendUnknownError,
    CrocusError,
    InvalidDocumentError,
    NotReachableError,
    PlatformUnavailableError,
)
from ..protocol.codec import MalformedMessageError
from ..protocol.document_feed import RulesUnknownError


class ExitCode(enum.IntEnum):
    """Exit codes of crocusctl.

    ``not_known_yet``: a change may have been appended, or an id is looked up,
    but no verdict was read.
    """

    done = 0
    rejected = 1
    wrong_input = 2
    not_reachable = 3
    not_known_yet = 4


class WrongInputError(CrocusError):
    """The command line or the settings file of the tool is invalid."""

    code = 'wrong_input'


def exit_code_for(error: CrocusError) -> ExitCode:
    """Return the exit code for an error."""
    match error:
        case InvalidDocumentError() | WrongInputError():
            return ExitCode.wrong_input
        case NotKnownYetError() | AppendUnknownError():
            return ExitCode.not_known_yet
        case PlatformUnavailableError() | NotReachableError():
            return ExitCode.not_reachable
        # No usable configuration was read, so nothing was submitted
        # or rejected.
        case (
            NoConfigurationError()
            | RulesUnknownError()
            | MalformedMessageError()
        ):
            return ExitCode.not_reachable
    return ExitCode.rejected
