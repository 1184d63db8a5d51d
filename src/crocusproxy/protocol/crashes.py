"""Body of ``POST /v1/crashes`` between homes."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class CrashReport:
    """An upstream crashed while requests were in flight to it.

    ``upstream`` has the form ``service/name``. ``fingerprints`` identify the
    requests; equal requests have the same fingerprint. ``ages`` are the times
    since they were sent, in the same order.
    """

    upstream: str
    fingerprints: tuple[str, ...]
    ages: tuple[timedelta, ...] = ()
