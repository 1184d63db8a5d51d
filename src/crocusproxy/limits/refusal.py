"""Refusal of a request before dispatch."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class Refuse:
    """Respond with the error ``code`` and a Retry-After of ``retry_after``."""

    code: str
    retry_after: timedelta
