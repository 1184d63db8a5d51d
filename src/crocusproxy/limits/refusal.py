"""Refusal of a request before dispatch."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class Refuse:
    """Respond with the error ``code`` and suggest to ``retry_after``."""

    code: str
    retry_after: timedelta
