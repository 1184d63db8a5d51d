"""Records of the stream ``claims``."""

from datetime import datetime

from pydantic.dataclasses import dataclass

#: Increased whenever an older reader would misread a newer record.
RECORD_VERSION = 1


@dataclass(frozen=True, slots=True)
class Claim:
    """Reserves the single run of the request with this key for one owner.

    ``nonce`` identifies the claim. ``digest`` is that of the request, which
    distinguishes other requests with the same key.
    """

    nonce: str
    key: str
    digest: str
    expiry: datetime


@dataclass(frozen=True, slots=True)
class Void:
    """The owner gave up the claim: its request did not run and never will."""

    nonce: str
    key: str
    expiry: datetime


@dataclass(frozen=True, slots=True)
class Completion:
    """The request of the claim ran; its response had ``status``."""

    nonce: str
    key: str
    status: int


@dataclass(frozen=True, slots=True)
class Batch:
    """The entries of one append.

    Claims take effect first, then voids, then completions. A batch without
    entries is a time marker in the stream.
    """

    version: int = RECORD_VERSION
    claims: tuple[Claim, ...] = ()
    voids: tuple[Void, ...] = ()
    completions: tuple[Completion, ...] = ()
