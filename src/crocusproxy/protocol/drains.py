"""Message that forwards the drain notice of an upstream to other instances."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DrainNotice:
    """The upstream of ``service`` at ``address`` announced that it is leaving."""

    service: str
    address: str
