"""Exceptions with a stable error code and a hint."""

from dataclasses import dataclass


class CrocusError(Exception):
    """Base class of all errors of the project.

    Attributes:
        code: stable identifier in snake case, listed in docs/OPERATIONS.md.
        message: description of the failure.
        hint: suggested remedy; may be empty.
    """

    code = 'internal_error'

    def __init__(self, message: str, *, hint: str = '', code: str = '') -> None:
        super().__init__(message)
        self.message = message
        self.hint = hint
        if code:
            self.code = code

    def __str__(self) -> str:
        """Join code, message and hint on one line."""
        text = f'[{self.code}] {self.message}'
        return f'{text} ({self.hint})' if self.hint else text


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a validated document.

    ``path`` is dotted, for example ``services.redaccion.homes``.
    """

    path: str
    expected: str
    found: str
    code: str

    def __str__(self) -> str:
        """Format the fault as one line."""
        path = self.path or '(document)'
        return (
            f'{path}: expected {self.expected}, '
            f'found {self.found} [{self.code}]'
        )


class InvalidDocumentError(CrocusError):
    """A document is invalid; ``faults`` lists all faults."""

    code = 'invalid_document'

    def __init__(self, source: str, faults: tuple[Fault, ...]) -> None:
        super().__init__(
            f'{source} has {len(faults)} fault(s)',
            hint='correct the listed lines and try again',
        )
        self.source = source
        self.faults = faults


class PlatformUnavailableError(CrocusError):
    """The platform did not respond, and the operation did not take effect.

    Raised by reads, and by writes whose connection was never opened.
    """

    code = 'platform_unavailable'


class AppendUnknownError(CrocusError):
    """The response to an append was lost; it may have taken effect."""

    code = 'append_unknown'


#: Statuses by which a log service rejects the content of an append.
REJECTED_APPEND_STATUSES = frozenset((400, 413, 422))


class AppendRejectedError(CrocusError):
    """The platform rejected the content of an append, which had no effect.

    The platform is available, and the same append would be rejected again.
    """

    code = 'append_rejected'


class NotReachableError(CrocusError):
    """Another program of the system did not respond."""

    code = 'not_reachable'
