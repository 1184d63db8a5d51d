"""Records of the stream ``claims``."""

from datetime import datetime

from pydantic.dataclasses import dataclass

#: Raised whenever an older reader would misread a newer record.
RECORD_VERSION = 1


@dataclass(frozen=True, slots=True)
class Claim:
    """Reserves one run of the request with this key for one owner."""

    nonce: str
    key: str
    digest: str
    expiry: datetime


@dataclass(frozen=True, slots=True)
class Void:
    """The owner gave the claim up: its request did not run and will not."""

    nonce: str
    key: str
    expiry: datetime


@dataclass(frozen=True, slots=True)
class Completion:
    """The request of the claim ran and was answered with ``status``."""

    nonce: str
    key: str
    status: int


BatchEntry = Claim | Void | Completion


@dataclass(frozen=True, slots=True)
class Batch:
    """Everything that one append writes, in the order of its effect.

    A batch without entries only marks a time in the stream.
    """

    version: int = RECORD_VERSION
    claims: tuple[Claim, ...] = ()
    voids: tuple[Void, ...] = ()
    completions: tuple[Completion, ...] = ()
