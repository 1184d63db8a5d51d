"""Body of ``POST /v1/crashes`` between homes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CrashReport:
    """An upstream crashed while requests were in flight to it.

    ``upstream`` has the form ``service/name``. ``fingerprints`` identify the
    requests; equal requests have the same fingerprint.
    """

    upstream: str
    fingerprints: tuple[str, ...]
