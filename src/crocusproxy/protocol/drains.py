"""Message that forwards an upstream's drain notice to other instances."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DrainNotice:
    """The upstream of ``service`` at ``address`` announced that it leaves."""

    service: str
    address: str
