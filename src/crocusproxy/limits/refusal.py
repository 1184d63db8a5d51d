"""The answer for a request that is given up before dispatch."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer at once with the error ``code``; ``retry_after`` is its hint."""

    code: str
    retry_after: timedelta
