"""Records of the stream ``rights``."""

from datetime import timedelta

from pydantic.dataclasses import dataclass

#: Raised whenever an older reader would misread a newer record.
RECORD_VERSION = 1


@dataclass(frozen=True, slots=True)
class ServiceRights:
    """Rights of one service that the holder renews or takes.

    ``count`` is the number of rights of the service in ``generation`` and
    ``spacing`` the time between two probes of each. With no ``numbers``, the
    record only announces that generation.
    """

    generation: int
    count: int
    spacing: timedelta
    numbers: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Renewal:
    """One append of one holder; ``nonce`` tells its appends apart."""

    holder: str
    nonce: str
    term: timedelta
    services: dict[str, ServiceRights]
    version: int = RECORD_VERSION
