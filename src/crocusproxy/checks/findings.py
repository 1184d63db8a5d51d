"""Findings of the checks, and the places that they concern."""

import enum
from dataclasses import dataclass


class Severity(enum.StrEnum):
    """Whether requests fail because of a finding.

    With an ``error``, requests fail or the document is not put in force. A
    ``warning`` concerns an entry without effect or with a contradiction.
    """

    error = 'error'
    warning = 'warning'


@dataclass(frozen=True, slots=True)
class Place:
    """Field names and indexes that lead to a value of ``RouteConfig``."""

    steps: tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class Finding:
    """One finding; ``code`` is listed in docs/OPERATIONS.md."""

    code: str
    severity: Severity
    place: Place
    message: str


def error(code: str, message: str, *steps: str | int) -> Finding:
    """Return an error at the place that ``steps`` lead to."""
    return Finding(code, Severity.error, Place(steps), message)


def warning(code: str, message: str, *steps: str | int) -> Finding:
    """Return a warning at the place that ``steps`` lead to."""
    return Finding(code, Severity.warning, Place(steps), message)
