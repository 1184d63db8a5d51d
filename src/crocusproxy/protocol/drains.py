"""The message by which one instance tells others of a drain notice."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DrainNotice:
    """An upstream of ``service`` at ``address`` said that it is leaving."""

    service: str
    address: str
