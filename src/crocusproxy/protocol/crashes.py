"""Body of ``POST /v1/crashes`` between homes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CrashReport:
    """An upstream was lost; ``fingerprints`` were in flight there.

    ``upstream`` has the form ``service/name``.
    """

    upstream: str
    fingerprints: tuple[str, ...]
