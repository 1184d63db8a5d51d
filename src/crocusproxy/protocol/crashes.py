"""Body of ``POST /v1/crashes`` between homes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CrashReport:
    """An upstream was lost with the requests ``fingerprints`` in flight.

    ``upstream`` has the form ``service/name``.
    """

    upstream: str
    fingerprints: tuple[str, ...]
