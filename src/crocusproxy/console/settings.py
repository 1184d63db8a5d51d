"""Settings of the console."""

from datetime import timedelta
from typing import Annotated

from pydantic import Field, StringConstraints
from pydantic.dataclasses import dataclass

from ..durations import Duration
from ..settings import STRICT, InstanceIdentity, Listen, PlatformSettings

_Sha256 = Annotated[str, StringConstraints(pattern='^[0-9a-f]{64}$')]
_Name = Annotated[str, StringConstraints(min_length=1, max_length=64)]


@dataclass(frozen=True, slots=True, config=STRICT)
class Operator:
    """An operator who may sign in; only the digest of the token is stored."""

    name: _Name
    token_sha256: _Sha256


@dataclass(frozen=True, slots=True, config=STRICT)
class ConsoleSettings:
    """Settings of ``crocus-console``.

    ``feeds`` are addresses of configuration daemons, the local one first.
    ``secure_cookies`` is off only where the console is reached without TLS.
    ``wait`` is the timeout for the verdict on a submission.
    """

    instance: InstanceIdentity
    listen: Listen
    platform: PlatformSettings
    feeds: Annotated[tuple[str, ...], Field(min_length=1)]
    operators: tuple[Operator, ...]
    secure_cookies: bool = True
    wait: Duration = timedelta(seconds=5)
