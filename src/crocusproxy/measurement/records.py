"""Records of the stream ``rights``."""

from dataclasses import field
from datetime import timedelta

from pydantic.dataclasses import dataclass

#: Incremented whenever an older reader would misread a newer record.
RECORD_VERSION = 1


@dataclass(frozen=True, slots=True)
class ServiceRights:
    """Rights of one service that the holder renews or acquires.

    ``count`` is the number of rights of the service in ``generation`` and
    ``spacing`` the time between two probes of each. Without ``numbers``, the
    record only announces that generation. ``expected`` holds, for each number
    that is acquired rather than renewed, the offset of the last record about it
    that the writer has read, or -1.
    """

    generation: int
    count: int
    spacing: timedelta
    numbers: tuple[int, ...] = ()
    expected: dict[int, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Renewal:
    """One append of one holder; ``nonce`` identifies it among its appends.

    ``term`` is the lease duration, counted from just before the append.
    ``since`` is the offset from which the writer has read without a gap.
    """

    holder: str
    nonce: str
    term: timedelta
    since: int
    services: dict[str, ServiceRights]
    version: int = RECORD_VERSION
